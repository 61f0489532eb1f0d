/**
 * Workloads of one agent: customers that stay within their contracts, and floods.
 */
import type {Stream} from './agent-queue.ts';

const durationMs = 120_000;
const floodStartMs = 10_000;
const floodEndMs = 110_000;

const steady = {weight: 4, startAt: 0, endAt: durationMs} as const;
const flood = {
	weight: 4, startAt: floodStartMs, endAt: floodEndMs, deadline: 5000,
} as const;

const surveyorWeight = 8;

/** Customers that stay within their contracts; together they use about two fifths of 8 slots. */
export const steadyStreams: readonly Stream[] = [
	{
		...steady, customer: 'clinic', kind: 'booking', urgency: 'high', rate: 4, runTime: [50, 250], deadline: 2000,
	},
	{
		...steady, customer: 'clinic', kind: 'report', urgency: 'low', rate: 2, runTime: [100, 300], deadline: 5000,
	},
	{
		...steady, customer: 'school', kind: 'scan', urgency: 'normal', rate: 6, runTime: [50, 150], deadline: 1000,
	},
	{
		...steady, customer: 'warehouse', kind: 'scan', urgency: 'normal', rate: 2, runTime: [200, 600], deadline: 3000,
	},
	{
		...steady, weight: surveyorWeight, customer: 'surveyor', kind: 'plan', urgency: 'normal', rate: 0.4, runTime: [1500, 2500], deadline: 10_000,
	},
];

/** The same customers, but the one with 2 s tasks has half the weight, so that it uses half of its share of the slots under a flood by others. */
export const tightStreams: readonly Stream[] = steadyStreams.map(stream => stream.customer === 'surveyor' ? {...stream, weight: surveyorWeight / 2} : stream);

function createFlood(count: number, stream: Omit<Stream, 'customer' | 'weight' | 'startAt' | 'endAt' | 'deadline'>, weight = 4): Stream[] {
	return Array.from({length: count}, (_, index) => ({
		...flood, ...stream, weight, customer: `flood-${index}`,
	}));
}

/** Name of a flood. */
export type FloodName = keyof typeof floods;

/** Streams of the flooding customers by the name of the flood; each flood offers far more work than 8 slots can do, and the weights of its customers add up to 4. */
export const floods = {
	'least urgent from one customer': createFlood(1, {
		kind: 'batch', urgency: 'low', rate: 500, runTime: [50, 150],
	}),
	'most urgent from one customer': createFlood(1, {
		kind: 'alarm', urgency: 'critical', rate: 500, runTime: [50, 150],
	}),
	'least urgent from twenty customers': createFlood(20, {
		kind: 'batch', urgency: 'low', rate: 25, runTime: [50, 150],
	}, 0.2),
	'most urgent from twenty customers': createFlood(20, {
		kind: 'alarm', urgency: 'critical', rate: 25, runTime: [50, 150],
	}, 0.2),
	'long tasks from one customer': createFlood(1, {
		kind: 'survey', urgency: 'low', rate: 50, runTime: [2000, 4000],
	}),
	'tasks just below long from one customer': createFlood(1, {
		kind: 'route', urgency: 'low', rate: 100, runTime: [600, 1000],
	}),
	'mostly short, a few long from one customer': createFlood(1, {
		kind: 'mixed', urgency: 'low', rate: 200, runTime: [50, 4000], longShare: 0.1,
	}),
	'most urgent long tasks from ten customers': createFlood(10, {
		kind: 'survey', urgency: 'critical', rate: 5, runTime: [2000, 4000],
	}, 0.4),
	'another kind of a steady customer': [{
		...flood, weight: 4, customer: 'school', kind: 'import', urgency: 'critical', rate: 500, runTime: [50, 150],
	}],
	'long tasks of a steady customer': [{
		...flood, weight: 4, customer: 'school', kind: 'audit', urgency: 'low', rate: 20, runTime: [2000, 4000],
	}],
} as const satisfies Record<string, readonly Stream[]>;
