/**
 * Plans of the bench: a deployment, its customers, and phases of open-loop load, from a JSON file.
 */
import {readFile} from 'node:fs/promises';
import * as z from 'zod';
import {urgencies} from '../../src/core/contracts/types.ts';

/** How arrivals are spread over time. */
export const arrivals = ['poisson', 'bursty'] as const;

const streamSchema = z.strictObject({
	customer: z.string(),
	kind: z.string(),
	/** Jobs per second; absent if `load` is given. */
	rate: z.number().positive().optional(),
	/** Share of all slots that the stream keeps busy. */
	load: z.number().positive().optional(),
	arrivals: z.enum(arrivals).default('poisson'),
	/** Least and greatest number of tasks of a job. */
	tasks: z.tuple([z.int().min(1), z.int().max(760)]).default([1, 1]),
	/** Least and greatest run time of a task, in ms. */
	runMs: z.tuple([z.number().min(1), z.number()]).default([50, 1000]),
	/** Part of the phase in which the stream is on, as shares of its duration. */
	active: z.tuple([z.number(), z.number()]).default([0, 1]),
	/** Whether results are counted for the flood's victims. */
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
	/** Time from the start of the phase of which results are not counted. */
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

/** A checked plan. */
export type Plan = z.output<typeof planSchema>;

/** A phase of a plan. */
export type Phase = Plan['phases'][number];

/** A stream of jobs of one customer and kind. */
export type LoadStream = Phase['streams'][number];

/**
 * Reads a plan.
 *
 * @param file - Path of the JSON file.
 * @returns The checked plan; throws with the path of the first fault.
 */
export async function loadPlan(file: string): Promise<Plan> {
	return planSchema.parse(JSON.parse(await readFile(file, 'utf8')));
}
