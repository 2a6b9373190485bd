package io.buckthornlever.core.process.membership

import java.time.Duration

/**
 * Periods and limits of membership.
 *
 * @property tick interval at which the owner sends [MembershipEvent.Tick]
 * @property probePeriod interval between probes of one member each
 * @property directTimeout time without an answer after which a probe is repeated through other members
 * @property indirectProbes members asked to repeat a failed probe
 * @property suspicionTimeout time within which a suspect may refute the suspicion
 * @property refusedTimeout suspicion timeout once the member's host refuses connections, which shows that the process no longer runs
 * @property gossipInterval interval between rounds of gossip while there is something to send
 * @property gossipFanout members that receive gossip in each round
 * @property leaveFanout members to which a leaving instance sends its leave message directly
 * @property retransmitFactor transmissions of each update, as a multiple of the number of binary digits of the member count
 * @property pauseThreshold clock jump between two ticks that counts as a pause of this process
 * @property deadProbePeriod interval between probes of one dead member each
 * @property healProbePeriod the same during [healWindow]
 * @property healWindow how long [healProbePeriod] applies after a dead member came back
 * @property deadRetention how long members that died or left are kept in the table
 * @property isolationTimeout time without a message from any member after which this instance gossips no suspicion and no death
 * @property silentConnectionRetention how long a silent connection is shown in the member's assessment
 * @property syncPeriod interval between pulls of the whole member list, which repair lost gossip
 * @property seedFanout unknown instances of the platform's list that are contacted per probe period
 * @property gossipBytes limit of the updates and facts in one datagram, in bytes
 */
public data class MembershipSettings(
    val tick: Duration = Duration.ofMillis(100),
    val probePeriod: Duration = Duration.ofSeconds(1),
    val directTimeout: Duration = Duration.ofMillis(400),
    val indirectProbes: Int = 3,
    val suspicionTimeout: Duration = Duration.ofSeconds(3),
    val refusedTimeout: Duration = Duration.ofSeconds(1),
    val gossipInterval: Duration = Duration.ofMillis(200),
    val gossipFanout: Int = 3,
    val leaveFanout: Int = 8,
    val retransmitFactor: Int = 2,
    val pauseThreshold: Duration = Duration.ofMillis(1500),
    val deadProbePeriod: Duration = Duration.ofSeconds(10),
    val healProbePeriod: Duration = Duration.ofMillis(500),
    val healWindow: Duration = Duration.ofSeconds(30),
    val deadRetention: Duration = Duration.ofHours(3),
    val isolationTimeout: Duration = Duration.ofSeconds(2),
    val silentConnectionRetention: Duration = Duration.ofSeconds(30),
    val syncPeriod: Duration = Duration.ofMinutes(2),
    val seedFanout: Int = 3,
    val gossipBytes: Int = 850,
)
