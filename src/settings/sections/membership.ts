/**
 * Settings of membership.
 */
import * as z from 'zod';

/** Schema of the section `membership`; every key has a default. */
export const membershipSchema = z.strictObject({
	probeIntervalMs: z.int().min(100).max(60_000).default(1000)
		.describe('Time between two probes by one process, in ms.'),
	probeTimeoutMs: z.int().min(20).max(10_000).default(200)
		.describe('Time without an answer, in ms, after which a probe is sent again; from the second time on other members help. At most a quarter of probeIntervalMs.'),
	indirectProbes: z.int().min(0).max(10).default(3)
		.describe('Members asked to help at each retry of a probe.'),
	suspicionMultiplier: z.number().min(0.5).max(100).default(2)
		.describe('Shortest time from suspicion to death, in probe intervals times log10 of the number of members.'),
	suspicionMaxMultiplier: z.number().min(1).max(100).default(3)
		.describe('Time from suspicion to death while nobody confirms the suspicion, as a multiple of the shortest.'),
	suspicionConfirmations: z.int().min(0).max(10).default(3)
		.describe('Confirmations by other members after which the shortest time holds.'),
	maxHealthScore: z.int().min(0).max(20).default(8)
		.describe('Greatest factor, less one, by which a process in poor reach of the others slows its own probes.'),
	retransmitMultiplier: z.int().min(1).max(20).default(4)
		.describe('Times that a piece of news is sent by one process, times log10 of the number of members.'),
	datagramBytes: z.int().min(800).max(1200).default(1200)
		.describe('Greatest size of a datagram, in bytes.'),
	piggybackBytes: z.int().min(200).max(800).default(700)
		.describe('Greatest size of the news carried by a probe or an answer, in bytes.'),
	rumourFanout: z.int().min(1).max(20).default(4)
		.describe('Members that are told urgent news at once.'),
	rumoursPerSecond: z.number().min(0).max(1000).default(2)
		.describe('Mean rate of datagrams with urgent news, per second.'),
	rumourBurst: z.int().min(0).max(1000).default(40)
		.describe('Datagrams with urgent news that may be sent above the mean rate.'),
	syncIntervalMs: z.int().min(500).max(600_000).default(10_000)
		.describe('Time between two comparisons of the view with that of another member, in ms.'),
	rejoinIntervalMs: z.int().min(500).max(600_000).default(5000)
		.describe('Time between two attempts to reach a dead member or a configured peer, in ms.'),
	deadRetentionMs: z.int().min(10_000).max(86_400_000).default(600_000)
		.describe('Time for which a dead member stays listed, in ms.'),
	tickMs: z.int().min(10).max(1000).default(100)
		.describe('Time between two runs of the membership logic, in ms. At most half of probeIntervalMs.'),
}).refine(settings => settings.probeTimeoutMs * 4 <= settings.probeIntervalMs, {
	path: ['probeTimeoutMs'], error: 'must be at most a quarter of probeIntervalMs, or no other member gets to help',
}).refine(settings => settings.tickMs * 2 <= settings.probeIntervalMs, {
	path: ['tickMs'], error: 'must be at most half of probeIntervalMs, or each tick looks like a pause of the process',
}).prefault({});
