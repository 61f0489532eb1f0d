/**
 * Settings of membership.
 */
import * as z from 'zod';

/** Schema of the section `membership`; every key has a default. */
export const membershipSchema = z.strictObject({
	probeIntervalMs: z.int().min(100).max(60_000).default(1000)
		.describe('Interval between two probes by one process, in ms.'),
	probeTimeoutMs: z.int().min(20).max(10_000).default(200)
		.describe('Time without an answer, in ms, after which a probe is sent again. From the second retry on, other members probe too. At most a quarter of probeIntervalMs.'),
	indirectProbes: z.int().min(0).max(10).default(3)
		.describe('Number of other members that are asked to probe at each retry from the second on.'),
	suspicionMultiplier: z.number().min(0.5).max(100).default(2)
		.describe('Minimum time from suspicion to death, in probe intervals times log10 of the number of members.'),
	suspicionMaxMultiplier: z.number().min(1).max(100).default(3)
		.describe('Maximum time from suspicion to death, used while no other member confirms the suspicion, as a multiple of the minimum.'),
	suspicionConfirmations: z.int().min(0).max(10).default(3)
		.describe('Number of confirmations by other members that reduce the time to its minimum.'),
	maxHealthScore: z.int().min(0).max(20).default(8)
		.describe('Maximum local health score. A process that reaches other members poorly slows its own probes by the factor of its score plus one.'),
	retransmitMultiplier: z.int().min(1).max(20).default(4)
		.describe('Number of times that one process sends an update, multiplied by log10 of the number of members.'),
	datagramBytes: z.int().min(800).max(1200).default(1200)
		.describe('Maximum size of a datagram, in bytes.'),
	piggybackBytes: z.int().min(200).max(800).default(700)
		.describe('Maximum size of the updates carried by a probe or its answer, in bytes.'),
	rumourFanout: z.int().min(1).max(20).default(4)
		.describe('Number of members to which an urgent update is sent at once.'),
	rumoursPerSecond: z.number().min(0).max(1000).default(2)
		.describe('Maximum mean rate of datagrams with urgent updates, per second.'),
	rumourBurst: z.int().min(0).max(1000).default(40)
		.describe('Number of datagrams with urgent updates that may be sent in a burst above the mean rate.'),
	syncIntervalMs: z.int().min(500).max(600_000).default(10_000)
		.describe('Interval, in ms, between two synchronizations of the full view with another member.'),
	rejoinIntervalMs: z.int().min(500).max(600_000).default(5000)
		.describe('Interval between two attempts to reach a dead member or a configured peer, in ms.'),
	deadRetentionMs: z.int().min(10_000).max(86_400_000).default(600_000)
		.describe('Time that a dead member stays listed, in ms.'),
	tickMs: z.int().min(10).max(1000).default(100)
		.describe('Interval between two runs of the membership logic, in ms. At most half of probeIntervalMs.'),
}).refine(settings => settings.probeTimeoutMs * 4 <= settings.probeIntervalMs, {
	path: ['probeTimeoutMs'], error: 'must be at most a quarter of probeIntervalMs, since other members have no time to probe otherwise',
}).refine(settings => settings.tickMs * 2 <= settings.probeIntervalMs, {
	path: ['tickMs'], error: 'must be at most half of probeIntervalMs, since each tick is mistaken for a pause of the process otherwise',
}).prefault({});
