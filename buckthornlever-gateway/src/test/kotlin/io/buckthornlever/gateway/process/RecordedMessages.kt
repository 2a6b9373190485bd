package io.buckthornlever.gateway.process

import io.buckthornlever.api.serving.StoreRevision
import io.buckthornlever.api.serving.SuspectEvidence
import java.util.HexFormat

/**
 * Messages as the jar of 1db3a2a encodes them. 2c2adfe has the same declarations of these messages and the same encoder; its revisions
 * have the era.
 */
internal object RecordedMessages {
    /** Messages of both releases. */
    val MESSAGES: List<Pair<ByteArray, PeerMessage>> =
        listOf(
            bytes(
                "9f6173bf6673656e6465726269316b696e6361726e6174696f6e076777696e646f7773bf03bf616104ffff66627265616b73" +
                    "bf0501ff6664656d616e64bf6463686174fb3ff8000000000000ffffff",
            ) to
                PeerMessage.State("i1", 7, mapOf(3L to mapOf("a" to 4L)), mapOf(5L to 1), mapOf("chat" to 1.5)),
            bytes(
                "9f616fbf6673656e6465726269316b696e6361726e6174696f6e076766656e63696e671b00000100000000156777696e646f" +
                    "7773bf03bf616104ffff66627265616b73bf626932bf2002ffff6673696c656e749f626934ffffff",
            ) to
                PeerMessage.Overview(
                    "i1",
                    7,
                    1_099_511_627_797,
                    mapOf(3L to mapOf("a" to 4L)),
                    mapOf("i2" to mapOf(-1L to 2)),
                    setOf("i4"),
                ),
            bytes(
                "9f6168bf6673656e6465726269316c6c6561736556657273696f6e136b76616c69644d696c6c69731905dc6664656d616e64" +
                    "bf6463686174fb3ff8000000000000ffffff",
            ) to
                PeerMessage.HolderStatus("i1", 19, 1_500, mapOf("chat" to 1.5)),
            bytes(
                "9f6163bf6673656e6465726269316b696e6361726e6174696f6e0762696408676163636f756e74616164636f7374fb400400" +
                    "0000000000657261697365f5ffff",
            ) to
                PeerMessage.ChargeRequest("i1", 7, 8, "a", 2.5, raise = true),
            bytes(
                "9f6161bf6673656e6465726269316b696e6361726e6174696f6e07626964086776657264696374654c415445526466726565" +
                    "fb4004000000000000ffff",
            ) to
                PeerMessage.ChargeResponse("i1", 7, 8, PeerMessage.Verdict.LATER, 2.5),
            bytes(
                "9f6172bf6673656e6465726269316b696e6361726e6174696f6e0762696408ffff",
            ) to
                PeerMessage.ChargeRefund("i1", 7, 8),
            bytes(
                "9f6170bf6673656e6465726269316865766964656e6365bf05bf61639fff616f07ffffffff",
            ) to
                PeerMessage.SuspectParts("i1", mapOf(5L to SuspectEvidence(emptySet(), 7))),
            bytes(
                "9f6176bf6673656e6465726269316865766964656e63659fff6573746f70739fffffff",
            ) to
                PeerMessage.VersionEvidence("i1", emptyList(), emptyList()),
        )

    /** Status that a lease holder of 2c2adfe sends. */
    val HOLDER_STATUS_WITH_ERA: Pair<ByteArray, PeerMessage> =
        bytes(
            "9f6168bf6673656e6465726269316c6c6561736556657273696f6e1b00000100000000136b76616c69644d696c6c69731905" +
                "dc6664656d616e64bf6463686174fb3ff8000000000000ffffff",
        ) to
            PeerMessage.HolderStatus("i1", StoreRevision.of(1, 19), 1_500, mapOf("chat" to 1.5))

    /** Response of a relay of 1db3a2a: an instance of revision 12, up to revision 19. */
    val RELAY_RESPONSE_WITHOUT_ERA: ByteArray =
        bytes(
            "bf676368616e6765739fbf676368616e676564bf646e616d65626932687265766973696f6e0c6576616c75659f7831696f2e" +
                "6275636b74686f726e6c657665722e6170692e73657276696e672e537461746556616c75652e496e7374616e6365bf667265" +
                "636f7264bf646e616d6562693264686f7374693132372e302e302e316870656572506f72740966646f6d61696e61616c6c69" +
                "6e6b4d65676162697473fb4024000000000000ffffffff6764656c65746564f4ffff687265766973696f6e136f61734f664f" +
                "66667365744e616e6f7324ff",
        )

    /** The same response of a relay of 2c2adfe, in era 1. */
    val RELAY_RESPONSE_WITH_ERA: ByteArray =
        bytes(
            "bf676368616e6765739fbf676368616e676564bf646e616d65626932687265766973696f6e1b000001000000000c6576616c" +
                "75659f7831696f2e6275636b74686f726e6c657665722e6170692e73657276696e672e537461746556616c75652e496e7374" +
                "616e6365bf667265636f7264bf646e616d6562693264686f7374693132372e302e302e316870656572506f72740966646f6d" +
                "61696e61616c6c696e6b4d65676162697473fb4024000000000000ffffffff6764656c65746564f4ffff687265766973696f" +
                "6e1b00000100000000136f61734f664f66667365744e616e6f7324ff",
        )

    private fun bytes(hex: String): ByteArray = HexFormat.of().parseHex(hex)
}
