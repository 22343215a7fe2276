package kingcuptide.forwarder.connection

/** One message of each kind that builds since 3853466 have in common, with fields that these have in common. */
internal object SampleMessages {
    private val load =
        PeerMessage.LoadReport(3, 1, 10, 250, true, 5.6, "t-leaving", 1_700_000_000_000, listOf(-1_234_567, 1_980))

    val all: Map<String, PeerMessage> = mapOf(
        "hello" to PeerMessage.Hello(PeerCodec.PROTOCOL_VERSION, "host-1", "domain-a", 1_700_000_000_123, 300),
        "forward" to PeerMessage.Forward(
            7,
            "9c41d07be2a35f68",
            "POST",
            "/a/b?c=d",
            listOf("Host", "h", "X", "y"),
            1_000,
            500,
            600,
            "route-1",
            -1,
            false,
            "t-1",
            "workspace-1",
            0.7,
            listOf(12, 34),
        ),
        "cancel" to PeerMessage.Cancel(7),
        "response" to PeerMessage.Response(7, 200, listOf("Content-Type", "text/plain"), 123, load),
        "refusal" to PeerMessage.Refusal(7, 202, 830, false, load),
        "outcome_unknown" to PeerMessage.OutcomeUnknown(7, 300, load),
        "ping" to PeerMessage.Ping(listOf(209, 4_611_686_018_427), -1, 3, true, load, -42, 1, "t-1"),
        "snapshot" to PeerMessage.SectionSnapshot(1, 209, emptyList(), 150, listOf("servers/t-1", "servers/t-2")),
        "updates" to PeerMessage.ItemUpdates(0, true, emptyList(), 150, 209, 12),
        "request" to PeerMessage.SectionRequest(listOf(150, 0)),
        "suspects" to PeerMessage.Suspects(emptyList()),
        "quota_ask" to PeerMessage.QuotaAsk(7, 99, 1_500, true, true, listOf(1, -2), listOf(3, 4), listOf(0, 5)),
        "quota_grant" to PeerMessage.QuotaGrant(7, 99, listOf(3, 4), listOf(0, 250)),
    )
}
