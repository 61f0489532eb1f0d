/**
 * Settings of placement.
 */
import * as z from 'zod';
import {defaultHalfLifeMs} from '../../core/slowness/logic.ts';
import {placementPolicies} from '../../core/placement/types.ts';

/** Schema of the section `placement`; every key has a default. */
export const placementSchema = z.strictObject({
	policy: z.enum(placementPolicies).default('two-choices')
		.describe('Policy that chooses an agent among those with free capacity.'),
	queuePerAgent: z.int().min(0).max(10_000).default(2)
		.describe('Number of tasks that a home may queue at an agent beyond the agent\'s slots.'),
	localDelayMs: z.number().min(0).max(1000).default(1)
		.describe('Round-trip time between two processes of one data centre, in ms.'),
	extraDelayMs: z.number().min(0).max(10_000).default(3)
		.describe('Additional round-trip time to another data centre, in ms. Work is sent there if the wait in the local data centre is longer by more than this.'),
	assumedRunTimeMs: z.number().min(1).max(60_000).default(200)
		.describe('Run time of a task, in ms, that is assumed until one has been measured.'),
	slowFactor: z.number().min(1.1).max(100).default(1.5)
		.describe('Ratio of an agent\'s run times to those of other agents from which the agent counts as slow.'),
	slownessHalfLifeMs: z.int().min(100).max(3_600_000).default(defaultHalfLifeMs)
		.describe('Half-life, in ms, of the measured slowness of an agent that runs nothing.'),
	peerCount: z.int().min(1).max(1024).default(32)
		.describe('Maximum number of agents with which a process exchanges messages.'),
	redrawMs: z.int().min(1000).max(3_600_000).default(30_000)
		.describe('Interval, in ms, in which some of the agents counted by peerCount are replaced at random.'),
	redrawShare: z.number().min(0).max(1).default(0.1)
		.describe('Fraction of peerCount that is replaced each time.'),
	localWeight: z.number().min(0.01).max(1000).default(4)
		.describe('Weight of an agent of the same data centre in the random choice; other agents have weight 1.'),
}).prefault({});

/** Validated settings of placement. */
export type PlacementSettings = z.output<typeof placementSchema>;
