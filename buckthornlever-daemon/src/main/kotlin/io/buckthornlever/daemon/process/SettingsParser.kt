package io.buckthornlever.daemon.process

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.buckthornlever.api.process.ConfigurationError
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.Finding
import io.buckthornlever.api.process.InstanceId
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import java.time.Duration

/** Parses a settings file and reports all errors in it at once. */
public object SettingsParser {
    private val PORTS = 0..65_535
    private val GRACE_MILLIS = 0L..600_000L
    private val IDLE_MILLIS = 100L..600_000L

    /** Parses [text]; [ConfigurationError.Invalid] lists all findings. */
    public fun parse(text: String): Result<Settings, ConfigurationError> {
        val root =
            try {
                Json.parseToJsonElement(text)
            } catch (e: SerializationException) {
                return Err(ConfigurationError.Malformed(e.message.orEmpty().lineSequence().first()))
            }
        if (root !is JsonObject) {
            return Err(
                ConfigurationError.Malformed("settings must be a JSON object, not ${JsonSection.typeName(root)}"),
            )
        }
        val findings = mutableListOf<Finding>()
        val settings = read(JsonSection("", root, findings))
        return if (findings.isEmpty()) Ok(settings) else Err(ConfigurationError.Invalid(findings.sortedBy { it.path }))
    }

    private fun read(root: JsonSection): Settings {
        val settings =
            Settings(
                site = root.string("site"),
                instance = instance(root.section("instance")),
                listen = listen(root.section("listen", required = false)),
                platform = platform(root.section("platform")),
                keys = keys(root.section("keys")),
                limits = limits(root.section("limits", required = false)),
                shutdownGrace = Duration.ofMillis(
                    root.long("shutdownGraceMillis", GRACE_MILLIS, Settings.DEFAULT_SHUTDOWN_GRACE.toMillis()),
                ),
                fallbackConfigurationFile = root.optionalString("fallbackConfigurationFile"),
            )
        root.refuseUnknownKeys()
        return settings
    }

    private fun instance(section: JsonSection): Settings.InstanceSettings {
        val result = Settings.InstanceSettings(InstanceId(section.string("id")), FailureDomain(section.string("failureDomain")))
        section.refuseUnknownKeys()
        return result
    }

    private fun listen(section: JsonSection): Settings.ListenSettings {
        val result =
            Settings.ListenSettings(
                address = section.string("address", "127.0.0.1"),
                callerPort = section.int("callerPort", PORTS, 0),
                operatorPort = section.int("operatorPort", PORTS, 0),
                peerPort = section.int("peerPort", PORTS, 0),
            )
        section.refuseUnknownKeys()
        return result
    }

    private fun platform(section: JsonSection): Settings.PlatformSettings {
        val result =
            Settings.PlatformSettings(
                objectStoreUrl = section.url("objectStoreUrl"),
                instanceListUrl = section.url("instanceListUrl"),
                cloudUrl = section.optionalUrl("cloudUrl"),
                weightStoreUrl = section.optionalUrl("weightStoreUrl"),
            )
        section.refuseUnknownKeys()
        return result
    }

    private fun keys(section: JsonSection): Settings.KeySettings {
        val result = Settings.KeySettings(section.string("operatorTokenFile"), section.string("peerKeyFile"))
        section.refuseUnknownKeys()
        return result
    }

    private fun limits(section: JsonSection): Settings.LimitSettings {
        val defaults = Settings.LimitSettings()
        val result =
            Settings.LimitSettings(
                requestThreads = section.int("requestThreads", 8..10_000, defaults.requestThreads),
                concurrentRequests = section.int("concurrentRequests", 1..100_000, defaults.concurrentRequests),
                headerBytes = section.int("headerBytes", 1_024..1_048_576, defaults.headerBytes),
                idleConnection = Duration.ofMillis(section.long("idleConnectionMillis", IDLE_MILLIS, defaults.idleConnection.toMillis())),
            )
        section.refuseUnknownKeys()
        return result
    }
}
