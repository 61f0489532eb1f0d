/**
 * Settings of an agent's queue.
 */
import * as z from 'zod';
import {schedulingPolicies} from '../../core/scheduling/types.ts';

const urgencyWeight = z.number().min(0.001).max(1_000_000);

/** Schema of the section `scheduling`; every key has a default. */
export const schedulingSchema = z.strictObject({
	policy: z.enum(schedulingPolicies).default('fair')
		.describe('Policy that chooses the next task; "fifo" is a baseline for comparison.'),
	maxTasks: z.int().min(1).max(1_000_000).default(4096)
		.describe('Maximum number of tasks queued at an agent.'),
	maxBytes: z.int().min(1024).default(8_388_608)
		.describe('Maximum total size of the task bodies queued at an agent, in bytes.'),
	maxCustomerTasks: z.int().min(1).max(1_000_000).default(2048)
		.describe('Maximum number of tasks of one customer queued at an agent.'),
	maxCustomerBytes: z.int().min(1024).default(4_194_304)
		.describe('Maximum total size of the task bodies of one customer queued at an agent, in bytes.'),
	maxWaitMs: z.int().min(1).max(600_000).default(10_000)
		.describe('Maximum expected time in the queue, in ms; beyond it a task is refused.'),
	initialRunMs: z.int().min(1).max(600_000).default(100)
		.describe('Run time, in ms, that is assumed for a kind without measurements when waits are estimated.'),
	trialChargeMs: z.int().min(1).max(600_000).default(1000)
		.describe('Run time, in ms, charged to a customer when a task of a kind without measurements starts; corrected when the task ends.'),
	longTaskMs: z.int().min(1).max(600_000).default(500)
		.describe('Run time, in ms, above which the tasks of a kind count as long; compared with the mean run time of the task that occupies a slot at a random moment.'),
	reservedShare: z.number().min(0).max(0.9).default(0.25)
		.describe('Fraction of an agent\'s slots that long tasks never occupy while short tasks arrive.'),
	maxReservedShare: z.number().min(0).max(0.9).default(0.75)
		.describe('Maximum fraction of an agent\'s slots that the load of short tasks can keep free of long tasks.'),
	reserveHoldMs: z.int().min(0).max(600_000).default(1000)
		.describe('Time, in ms, after the last short task during which slots are kept free, and during which an idle customer still counts as active.'),
	longHoldMs: z.int().min(0).max(600_000).default(10_000)
		.describe('Time, in ms, after long tasks of a second customer during which no single customer may occupy all slots for long tasks; reservedShare is the fraction kept free.'),
	trialIntervalMs: z.int().min(1).max(600_000).default(1000)
		.describe('Minimum interval, in ms, between two trial tasks of an idle kind, which run although the measured run time of the kind exceeds their deadline.'),
	idleMs: z.int().min(1000).default(600_000)
		.describe('Time, in ms, after which the measured run times of an idle customer are discarded.'),
	urgencyWeights: z.strictObject({
		low: urgencyWeight.default(1).describe('Weight of kinds with urgency "low" among the kinds of one customer.'),
		normal: urgencyWeight.default(2).describe('Weight of kinds with urgency "normal" among the kinds of one customer.'),
		high: urgencyWeight.default(4).describe('Weight of kinds with urgency "high" among the kinds of one customer.'),
		critical: urgencyWeight.default(8).describe('Weight of kinds with urgency "critical" among the kinds of one customer.'),
	}).prefault({}),
}).prefault({});
