/**
 * Steps of the feature on the choice of agents.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {recordEnd, recordReport, recordSent} from '../../src/core/placement/accounting.ts';
import {chooseAgents, chooseHome} from '../../src/core/placement/logic.ts';
import {createPlacementOptions} from '../../src/core/placement/options.ts';
import {choosePeers} from '../../src/core/placement/peers.ts';
import {
	createPlacementState, setAgents, setEjected, type PlacementState,
} from '../../src/core/placement/state.ts';
import type {PlacementOptions, PlacementPolicy} from '../../src/core/placement/types.ts';
import type {LoadReport, NotStartedReason} from '../../src/ports/messages.ts';
import {createSeededRandom, type Random} from '../../src/ports/random.ts';
import {placementSchema} from '../../src/settings/sections/placement.ts';

type PlacementWorld = {placement: PlacementState; placementRandom: Random};

const start = 1_700_000_000_000;
const slots = 8;

function createLoad(freeSlots: number, change: Partial<LoadReport> = {}): LoadReport {
	return {
		freeSlots, slots, queued: 0, expectedWait: 0, leaving: false, ...change,
	};
}

function getRef(name: string) {
	return {name, incarnation: 1, dataCentre: name.startsWith('b') ? 'b' : 'a'};
}

function createPlacement(world: PlacementWorld, names: readonly string[], change: Partial<PlacementOptions>) {
	world.placementRandom = createSeededRandom(7);
	world.placement = createPlacementState({...createPlacementOptions(placementSchema.parse({}), 'a'), ...change});
	setAgents(world.placement, names.map(name => getRef(name)), start);
	for (const name of names) {
		report(world, name, createLoad(slots));
	}
}

function report(world: PlacementWorld, name: string, load: LoadReport, at = start) {
	recordReport(world.placement, getRef(name), load, 'result', at);
}

function countPlaced(world: PlacementWorld, count: number): Map<string, number> {
	const assignments = chooseAgents(world.placement, count, start, world.placementRandom);
	return new Map(assignments.map(({agent, count}) => [agent.name, count]));
}

Given('placement on {string} over agents {string} in one data centre', function (this: PlacementWorld, self: string, names: string) {
	createPlacement(this, names.split(' '), {self});
});

Given('placement on {string} over agents {string} here and {string} in another data centre', function (this: PlacementWorld, self: string, here: string, there: string) {
	createPlacement(this, [...here.split(' '), there], {self});
});

Given('placement by {string} over agents {string}', function (this: PlacementWorld, policy: PlacementPolicy, names: string) {
	createPlacement(this, names.split(' '), {policy});
});

Given('an entry\'s placement over agents {string} in one data centre', function (this: PlacementWorld, names: string) {
	createPlacement(this, names.split(' '), {});
});

Given('an entry\'s placement over {int} agents of which {int} are in this data centre', function (this: PlacementWorld, agents: number, local: number) {
	const names = Array.from({length: agents}, (_, index) => index < local ? `a${index}` : `b${index}`);
	createPlacement(this, names, {});
});

Given('{int} tasks were sent to {string} since its report of {int} free slots and {int} queued', function (this: PlacementWorld, sent: number, name: string, free: number, queued: number) {
	report(this, name, createLoad(free, {queued}));
	recordSent(this.placement, getRef(name), sent, start);
});

Given('{int} tasks are sent to {string} and {int} of them end', function (this: PlacementWorld, sent: number, name: string, ended: number) {
	recordSent(this.placement, getRef(name), sent, start);
	for (let index = 0; index < ended; index++) {
		recordEnd(this.placement, getRef(name), {
			customer: 'c', kind: 'k', status: 'done', runTime: 1,
		}, start);
	}
});

Given('tasks run {int} ms and the agents here have {int} free slots', function (this: PlacementWorld, runTime: number, free: number) {
	this.placement.runTime = runTime;
	for (const name of ['a1', 'a2']) {
		report(this, name, createLoad(free));
	}
});

Given('agent "a1" is full and "a2" reported 1 free slot {int} ms ago', function (this: PlacementWorld, age: number) {
	report(this, 'a1', createLoad(0));
	report(this, 'a2', createLoad(1), start - age);
});

const stateChanges: Record<string, (world: PlacementWorld, name: string) => void> = {
	healthy: () => undefined,
	full(world, name) {
		report(world, name, createLoad(0, {expectedWait: 40}));
	},
	leaving(world, name) {
		report(world, name, createLoad(slots, {leaving: true}));
	},
	ejected(world, name) {
		setEjected(world.placement, [...world.placement.ejected, name]);
	},
	'without slots'(world, name) {
		report(world, name, createLoad(0, {slots: 0}));
	},
	'not reported yet'(world, name) {
		world.placement.agents.get(name)!.load = undefined;
	},
	'no longer a member'(world, name) {
		const remaining = [...world.placement.agents.values()].map(record => record.agent).filter(agent => agent.name !== name);
		setAgents(world.placement, remaining, start);
	},
	'not among the peers'(world) {
		world.placement.peers = new Set(['a3']);
	},
};
stateChanges.gone = stateChanges['no longer a member']!;

When(/^placement learns that agents? "(.+)" (?:is|are) (.+)$/, function (this: PlacementWorld, names: string, state: string) {
	for (const name of names.split(' ')) {
		stateChanges[state](this, name);
	}
});

When('{int} tasks run {int} ms at each agent but {int} ms at {string}', function (this: PlacementWorld, count: number, usual: number, slow: number, name: string) {
	for (const agent of Array.from({length: count}, () => ['a1', 'a2', 'a3']).flat()) {
		const runTime = agent === name ? slow : usual;
		recordEnd(this.placement, getRef(agent), {
			customer: 'c', kind: 'k', status: 'done', runTime,
		}, start);
	}
});

When('placement learns that agent {string} has restarted', function (this: PlacementWorld, name: string) {
	const agents = [...this.placement.agents.values()]
		.map(({agent}) => agent.name === name ? {...agent, incarnation: 2} : agent);
	setAgents(this.placement, agents, start);
});

When('{float} ms later {string} reports {int} free slots', function (this: PlacementWorld, delay: number, name: string, free: number) {
	report(this, name, createLoad(free), start + delay);
});

When('{int} messages of {int} tasks are sent and {int} tasks are refused as {string}', function (this: PlacementWorld, messages: number, count: number, refused: number, reason: NotStartedReason) {
	for (let index = 0; index < messages; index++) {
		recordSent(this.placement, getRef('a2'), count, start);
	}

	for (let index = 0; index < refused; index++) {
		recordEnd(this.placement, getRef('a2'), {
			customer: 'c', kind: 'k', status: 'not-started', reason, runTime: 0,
		}, start);
	}
});

When('{string} reports {int} free slots {int} times in "load" messages', function (this: PlacementWorld, name: string, free: number, times: number) {
	for (let index = 0; index < times; index++) {
		recordReport(this.placement, getRef(name), createLoad(free), 'load', start);
	}
});

When('the peers are drawn', function (this: PlacementWorld) {
	choosePeers(this.placement, start, this.placementRandom);
});

Then('placing {int} tasks gives agent {string} {int} tasks', function (this: PlacementWorld, count: number, name: string, expected: number) {
	assert.equal(countPlaced(this, count).get(name) ?? 0, expected);
});

Then('placing {int} tasks gives every agent {int} tasks', function (this: PlacementWorld, count: number, expected: number) {
	const placed = countPlaced(this, count);
	assert.equal(placed.size, this.placement.agents.size);
	assert.deepEqual(new Set(placed.values()), new Set([expected]));
});

Then('placing {int} tasks gives {int} tasks in all', function (this: PlacementWorld, count: number, expected: number) {
	let total = 0;
	for (const tasks of countPlaced(this, count).values()) {
		total += tasks;
	}

	assert.equal(total, expected);
});

Then(/^the next task goes to (this process|agent a2|another place)$/, function (this: PlacementWorld, place: string) {
	const [name] = countPlaced(this, 1).keys();
	assert.equal(name, {'this process': 'a1', 'agent a2': 'a2'}[place] ?? 'b1');
});

Then('a report of the earlier incarnation of {string} is ignored', function (this: PlacementWorld, name: string) {
	report(this, name, createLoad(slots));
	assert.equal(this.placement.agents.get(name)!.load, undefined);
});

Then(/^the home of a job is (.+)$/, function (this: PlacementWorld, expected: string) {
	const home = chooseHome(this.placement, start, this.placementRandom);
	if (home.isErr()) {
		assert.equal(`none (${home.error.kind})`, expected);
	} else {
		assert.ok(expected.replace('one of ', '').split(' ').includes(home.value.name), home.value.name);
	}
});

Then('the counters of placement are {string}', function (this: PlacementWorld, expected: string) {
	const counts = Object.entries(this.placement.counts).map(([name, count]) => `${name} ${count}`);
	assert.equal(counts.join(', '), expected);
});

Then('there are {int} peers, at least {int} of them in this data centre', function (this: PlacementWorld, count: number, near: number) {
	const peers = [...this.placement.peers!];
	assert.equal(peers.length, count);
	assert.ok(peers.filter(name => name.startsWith('a')).length >= near, peers.join(' '));
});

Then('a redraw after the interval replaces at most {int} of them', function (this: PlacementWorld, most: number) {
	const before = this.placement.peers!;
	const same = choosePeers(this.placement, start + 1, this.placementRandom);
	assert.deepEqual(same, before);
	const after = choosePeers(this.placement, start + placementSchema.parse({}).redrawMs, this.placementRandom);
	const replaced = [...after].filter(name => !before.has(name)).length;
	assert.ok(replaced <= most, String(replaced));
	assert.equal(replaced > 0, this.placement.agents.size > before.size);
});

Then('an ejected peer is replaced at once', function (this: PlacementWorld) {
	const [ejected] = this.placement.peers!;
	const {size} = (this.placement.peers!);
	setEjected(this.placement, [ejected]);
	const after = choosePeers(this.placement, start + 2, this.placementRandom);
	assert.ok(!after.has(ejected));
	assert.equal(after.size, Math.min(size, this.placement.agents.size - 1));
});
