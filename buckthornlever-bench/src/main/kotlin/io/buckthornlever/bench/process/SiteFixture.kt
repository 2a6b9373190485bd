package io.buckthornlever.bench.process

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.ObjectKey
import io.buckthornlever.api.process.PlatformInstance
import io.buckthornlever.core.process.TableCodec
import io.buckthornlever.daemon.process.Daemon
import io.buckthornlever.daemon.process.Settings
import io.buckthornlever.standin.process.ComputedBlocks
import io.buckthornlever.standin.process.EngineConfig
import io.buckthornlever.standin.process.EngineStandIn
import io.buckthornlever.standin.process.InstanceListStandIn
import io.buckthornlever.standin.process.ObjectStoreStandIn
import io.buckthornlever.standin.process.PlainServiceStandIn
import java.nio.file.Files
import java.nio.file.Path
import java.time.Duration
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport

/** A whole site in this JVM: stand-ins for the platform and the upstreams, and real daemons. */
internal class SiteFixture(
    val layout: SiteLayout,
    entryInstances: Int = SiteLayout.ENTRY_INSTANCES,
    engineConfig: EngineConfig = EngineConfig(),
) : AutoCloseable {
    private val directory: Path = Files.createTempDirectory("buckthornlever")
    val tokenFile: Path = directory.resolve("operator-token").also { Files.writeString(it, OPERATOR_TOKEN) }
    private val peerKeyFile: Path = directory.resolve("peer-key").also { Files.writeString(it, PEER_KEY) }
    val store: ObjectStoreStandIn = ObjectStoreStandIn().start()
    val instanceList: InstanceListStandIn = InstanceListStandIn().start()
    private val computed = ComputedBlocks()
    val engines: List<EngineStandIn> = List(layout.engines) { EngineStandIn(engineConfig, computed).start() }
    val services: List<PlainServiceStandIn> = List(layout.services) { PlainServiceStandIn().start() }
    val daemons: List<Daemon> = List(entryInstances) { Daemon(settings(it)) }

    /** Stores the tables, starts the daemons and waits until all are ready. */
    fun start() {
        store.put(ObjectKey.ACCOUNTS.value, TableCodec.encode(SiteTables.accounts()))
        store.put(ObjectKey.ROUTES.value, TableCodec.encode(SiteTables.routes(layout)))
        store.put(ObjectKey.POOLS.value, TableCodec.encode(SiteTables.pools(layout, engines.map { it.url }, services.map { it.url })))
        daemons.forEach { it.start() }
        daemons.forEachIndexed { index, daemon ->
            instanceList.put(PlatformInstance(InstanceId("entry-$index"), "127.0.0.1", daemon.peerPort, layout.domainOf(index), "entry"))
        }
        awaitOrFail("daemons are ready") { daemons.all { it.isReady() } }
    }

    /** Settings of the entry instance with number [index]. */
    fun settings(index: Int): Settings =
        Settings(
            site = layout.domains.first().value.substringBeforeLast('-'),
            instance = Settings.InstanceSettings(InstanceId("entry-$index"), layout.domainOf(index)),
            listen = Settings.ListenSettings(),
            platform = Settings.PlatformSettings(store.url, instanceList.url),
            keys = Settings.KeySettings(tokenFile.toString(), peerKeyFile.toString()),
        )

    override fun close() {
        daemons.parallelStream().forEach { it.close() }
        engines.forEach { it.close() }
        services.forEach { it.close() }
        instanceList.close()
        store.close()
        Files.walk(directory).sorted(Comparator.reverseOrder()).forEach(Files::delete)
    }

    companion object {
        const val OPERATOR_TOKEN: String = "operator-token-for-tests"
        private const val PEER_KEY = "peer-key-for-tests-0123456789abcdef"
        private const val POLL_MILLIS = 20L
        private val PATIENCE: Duration = Duration.ofSeconds(20)

        /** Waits until [condition] holds; fails after 20 s. */
        fun awaitOrFail(
            what: String,
            condition: () -> Boolean,
        ) {
            val end = System.nanoTime() + PATIENCE.toNanos()
            while (!condition()) {
                check(System.nanoTime() < end) { "timed out waiting until $what" }
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_MILLIS))
            }
        }
    }
}
