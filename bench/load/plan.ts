/**
 * Reads plans of the bench from JSON files: a deployment, its customers, and phases of open-loop load.
 */
import {readFile} from 'node:fs/promises';
import * as z from 'zod';
import {urgencies} from '../../src/core/contracts/types.ts';

/** Distributions of arrivals over time. */
export const arrivals = ['poisson', 'bursty'] as const;

const streamSchema = z.strictObject({
	customer: z.string(),
	kind: z.string(),
	/** Mean arrivals in jobs per second. */
	rate: z.number().positive().optional(),
	/** Share of all slots that the stream keeps busy on average; used if `rate` is absent. */
	load: z.number().positive().optional(),
	arrivals: z.enum(arrivals).default('poisson'),
	/** Smallest and largest number of tasks of a job; uniformly distributed. */
	tasks: z.tuple([z.int().min(1), z.int().max(760)]).default([1, 1]),
	/** Shortest and longest run time of a task, in ms; uniformly distributed. */
	runMs: z.tuple([z.number().min(1), z.number()]).default([50, 1000]),
	/** Start and end of the stream within the phase, as shares of the phase's duration. */
	active: z.tuple([z.number(), z.number()]).default([0, 1]),
	/** Whether the stream floods; a flood is submitted by several generator processes. */
	isFlood: z.boolean().default(false),
});

const customerSchema = z.strictObject({
	name: z.string(),
	weight: z.number().positive().default(1),
	kinds: z.record(z.string(), z.strictObject({urgency: z.enum(urgencies).default('normal'), deadlineMs: z.int().default(10_000)})),
	limits: z.record(z.string(), z.number()).default({}),
});

const phaseSchema = z.strictObject({
	name: z.string(),
	durationMs: z.int().min(100),
	/** Time from the start of the phase in which the jobs that arrive are not counted, in ms. */
	warmupMs: z.int().min(0).default(1000),
	streams: z.array(streamSchema),
	/** Behaviour of stand-in targets by number, such as `{"1": {"failure": "fail"}}`, during the phase. */
	targets: z.record(z.string(), z.record(z.string(), z.unknown())).default({}),
});

const planSchema = z.strictObject({
	deployment: z.string(),
	entries: z.int().default(3),
	agents: z.int().default(11),
	slots: z.int().default(8),
	dataCentres: z.int().default(4),
	settings: z.record(z.string(), z.unknown()).default({}),
	customers: z.array(customerSchema),
	phases: z.array(phaseSchema),
});

/** A validated plan. */
export type Plan = z.output<typeof planSchema>;

/** A phase of a plan. */
export type Phase = Plan['phases'][number];

/** A stream of jobs of one customer and kind. */
export type LoadStream = Phase['streams'][number];

/**
 * Reads a plan.
 *
 * @param file - Path of the JSON file.
 * @returns The validated plan; throws with the paths of invalid values.
 */
export async function loadPlan(file: string): Promise<Plan> {
	return planSchema.parse(JSON.parse(await readFile(file, 'utf8')));
}
