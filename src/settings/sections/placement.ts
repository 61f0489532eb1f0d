/**
 * Settings of placement.
 */
import * as z from 'zod';
import {placementPolicies} from '../../core/placement/types.ts';

/** Schema of the section `placement`; every key has a default. */
export const placementSchema = z.strictObject({
	policy: z.enum(placementPolicies).default('two-choices')
		.describe('How an agent is picked among those with room.'),
	queuePerAgent: z.int().min(0).max(10_000).default(2)
		.describe('Tasks that a home may let wait at an agent beyond its slots.'),
	localDelayMs: z.number().min(0).max(1000).default(1)
		.describe('Round trip between two processes of one data centre, in ms.'),
	extraDelayMs: z.number().min(0).max(10_000).default(3)
		.describe('What a round trip to another data centre takes beyond that, in ms; work goes there if the wait here is longer.'),
	assumedRunTimeMs: z.number().min(1).max(60_000).default(200)
		.describe('Run time of a task, in ms, assumed until one has been measured.'),
	slowFactor: z.number().min(1.1).max(100).default(1.5)
		.describe('Run time relative to the other agents from which on an agent counts as slow.'),
	slownessHalfLifeMs: z.int().min(100).max(3_600_000).default(10_000)
		.describe('Time, in ms, after which half of a measured slowness is forgotten if nothing runs there.'),
	peerCount: z.int().min(1).max(1024).default(32)
		.describe('Greatest number of agents that a process talks to.'),
	redrawMs: z.int().min(1000).max(3_600_000).default(30_000)
		.describe('Time between two redraws of a part of these agents, in ms.'),
	redrawShare: z.number().min(0).max(1).default(0.1)
		.describe('Share of these agents that is drawn anew at each redraw.'),
	localWeight: z.number().min(0.01).max(1000).default(4)
		.describe('Weight of an agent of the same data centre in that draw; the others weigh 1.'),
}).prefault({});

/** Checked settings of placement. */
export type PlacementSettings = z.output<typeof placementSchema>;
