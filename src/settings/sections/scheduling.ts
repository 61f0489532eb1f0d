/**
 * Settings of the queue of an agent.
 */
import * as z from 'zod';
import {schedulingPolicies} from '../../core/scheduling/types.ts';

const urgencyWeight = z.number().min(0.001).max(1_000_000);

/** Schema of the section `scheduling`; every key has a default. */
export const schedulingSchema = z.strictObject({
	policy: z.enum(schedulingPolicies).default('fair')
		.describe('Policy that chooses the next task; "fifo" is a baseline for comparison.'),
	maxTasks: z.int().min(1).max(1_000_000).default(4096)
		.describe('Greatest number of tasks queued at an agent.'),
	maxBytes: z.int().min(1024).default(8_388_608)
		.describe('Greatest size of all task bodies queued at an agent, in bytes.'),
	maxCustomerTasks: z.int().min(1).max(1_000_000).default(2048)
		.describe('Greatest number of tasks of one customer queued at an agent.'),
	maxCustomerBytes: z.int().min(1024).default(4_194_304)
		.describe('Greatest size of the task bodies of one customer queued at an agent, in bytes.'),
	maxWaitMs: z.int().min(1).max(600_000).default(10_000)
		.describe('Greatest expected time in the queue, in ms; beyond it a task is refused.'),
	initialRunMs: z.int().min(1).max(600_000).default(100)
		.describe('Run time, in ms, by which the wait behind a kind is judged that has not been measured yet.'),
	trialChargeMs: z.int().min(1).max(600_000).default(1000)
		.describe('Run time, in ms, charged at the start of a task whose kind has not been measured yet; corrected when it ends.'),
	longTaskMs: z.int().min(1).max(600_000).default(500)
		.describe('Run time of a kind, in ms, above which its tasks are long; the mean of the task that holds a slot at a random moment.'),
	reservedShare: z.number().min(0).max(0.9).default(0.25)
		.describe('Share of an agent\'s slots that long tasks never take while short ones arrive.'),
	maxReservedShare: z.number().min(0).max(0.9).default(0.75)
		.describe('Greatest share of an agent\'s slots kept free of long tasks by the load of short ones.'),
	reserveHoldMs: z.int().min(0).max(600_000).default(1000)
		.describe('Time, in ms, after the last short task in which slots are kept free, and in which an idle customer counts as active.'),
	longHoldMs: z.int().min(0).max(600_000).default(10_000)
		.describe('Time, in ms, after long tasks of a second customer in which a share of the slots for long tasks is kept free of any one customer.'),
	trialIntervalMs: z.int().min(1).max(600_000).default(1000)
		.describe('Shortest time, in ms, between two tasks of an idle kind that are tried although its measured run time exceeds their deadline.'),
	idleMs: z.int().min(1000).default(600_000)
		.describe('Time, in ms, after which an idle customer\'s measured run times are forgotten.'),
	urgencyWeights: z.strictObject({
		low: urgencyWeight.default(1).describe('Weight of kinds of urgency "low" within their customer.'),
		normal: urgencyWeight.default(2).describe('Weight of kinds of urgency "normal" within their customer.'),
		high: urgencyWeight.default(4).describe('Weight of kinds of urgency "high" within their customer.'),
		critical: urgencyWeight.default(8).describe('Weight of kinds of urgency "critical" within their customer.'),
	}).prefault({}),
}).prefault({});
