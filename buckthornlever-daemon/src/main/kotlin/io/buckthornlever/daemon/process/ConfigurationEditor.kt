package io.buckthornlever.daemon.process

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapBoth
import com.github.michaelbull.result.mapError
import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.ConfigurationError
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.ObjectKey
import io.buckthornlever.api.process.ObjectStore
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.process.PoolTable
import io.buckthornlever.api.process.StoreError
import io.buckthornlever.api.process.StoredObject
import io.buckthornlever.core.process.TableCodec
import io.buckthornlever.core.process.configuration.ConfigurationValidator
import io.buckthornlever.daemon.process.control.StoreTables
import io.buckthornlever.gateway.process.EventLog

/** Changes the stored tables on behalf of operators. A change counts as accepted once the store has confirmed it. */
internal class ConfigurationEditor(
    private val store: ObjectStore,
    private val configuration: ConfigurationHolder,
    private val log: EventLog,
    private val accepted: (Configuration) -> Unit,
) {
    private val validator = ConfigurationValidator()

    /** Replaces the table at [key] if its stored version is [expected]; creates it when [expected] is null. */
    fun replace(
        key: ObjectKey,
        text: String,
        expected: ObjectVersion?,
    ): Result<ObjectVersion, EditError> {
        check(key, text)?.let { return Err(it) }
        val written = if (expected == null) store.create(key, text) else store.update(key, text, expected)
        return written
            .mapBoth(success = { Ok(it) }, failure = { settle(key, text, it) })
            .map { version ->
                accepted(StoreTables.read(listOf(StoredObject(key, version, text))).configuration)
                log.write(LogEvent.CONFIGURATION_CHANGED_BY_OPERATOR, "table" to key, "revision" to version.value)
                version
            }
    }

    /** Takes [domain] out of service or returns it; repeats on races with other operators. */
    fun setDomain(
        domain: FailureDomain,
        out: Boolean,
    ): Result<ObjectVersion, EditError> {
        repeat(MAX_RACES) {
            val stored = store.get(ObjectKey.POOLS).getOrElse { return Err(EditError.Store(it)) }
            val table =
                TableCodec.decodePools(stored.value.orEmpty(), stored.version.value).getOrElse { return Err(EditError.Refused(it)) }
            if (table.pools.none { pool -> pool.upstreams.any { it.failureDomain == domain } }) return Err(EditError.UnknownDomain(domain))
            if ((domain in table.domainsOut) == out) return Ok(stored.version)
            val result = replace(ObjectKey.POOLS, TableCodec.encode(changed(table, domain, out)), stored.version)
            if (result.mapBoth(success = { true }, failure = { !isConflict(it) })) return result
        }
        return Err(EditError.Store(StoreError.Conflict(null)))
    }

    private fun changed(
        table: PoolTable,
        domain: FailureDomain,
        out: Boolean,
    ): PoolTable = table.copy(domainsOut = if (out) table.domainsOut + domain else table.domainsOut - domain)

    private fun isConflict(error: EditError): Boolean = error is EditError.Store && error.error is StoreError.Conflict

    private fun check(
        key: ObjectKey,
        text: String,
    ): EditError? {
        val current = configuration.get()
        val changed =
            when (key) {
                ObjectKey.ROUTES -> TableCodec.decodeRoutes(text, current.routes.revision).map { current.copy(routes = it) }
                ObjectKey.POOLS -> TableCodec.decodePools(text, current.pools.revision).map { current.copy(pools = it) }
                else -> TableCodec.decodeAccounts(text, current.accounts.revision).map { current.copy(accounts = it) }
            }
        return changed.mapBoth(success = ::invalid, failure = { EditError.Refused(it) })
    }

    private fun invalid(changed: Configuration): EditError? =
        validator.check(changed).takeIf { it.isNotEmpty() }?.let { EditError.Refused(ConfigurationError.Invalid(it)) }

    // A lost answer is settled by reading back: the text is there only if the write took effect.
    private fun settle(
        key: ObjectKey,
        text: String,
        error: StoreError,
    ): Result<ObjectVersion, EditError> {
        if (error !is StoreError.AnswerLost) return Err(EditError.Store(error))
        return store.get(key).mapError { EditError.Store(error) }.andThen { stored ->
            if (stored.value == text) Ok(stored.version) else Err(EditError.Store(error))
        }
    }

    private companion object {
        const val MAX_RACES = 5
    }
}
