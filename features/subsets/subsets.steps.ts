/**
 * Steps of the feature about subsets.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import type {NodeName} from '../../src/core/identity/types.ts';
import {selectAgents, selectEntries, selectNeighbours} from '../../src/core/subsets/logic.ts';
import {defaultSubsetOptions} from '../../src/core/subsets/options.ts';

type SubsetsWorld = {
	entryNames: NodeName[];
	agentNames: NodeName[];
	lost: Set<NodeName>;
	/** Streams as `entry/agent` before a loss. */
	streams: Set<string>;
};

function listEntryStreams({entryNames: entries, agentNames: agents}: SubsetsWorld): Set<string> {
	return new Set(entries.flatMap(entry => [...selectAgents(entry, {entries, agents}, defaultSubsetOptions)].map(agent => `${entry}/${agent}`)));
}

function listAgentStreams({entryNames: entries, agentNames: agents}: SubsetsWorld, unreachable: ReadonlySet<NodeName>): Set<string> {
	return new Set(agents.flatMap(agent => [...selectEntries(agent, {entries, agents}, unreachable, defaultSubsetOptions)].map(entry => `${entry}/${agent}`)));
}

function countBy(streams: ReadonlySet<string>, names: readonly NodeName[], position: 0 | 1): number[] {
	const counts = new Map(names.map(name => [name, 0]));
	for (const stream of streams) {
		const name = stream.split('/')[position];
		if (counts.has(name)) {
			counts.set(name, counts.get(name)! + 1);
		}
	}

	return [...counts.values()];
}

Given('{int} entries and {int} agents', function (this: SubsetsWorld, entryCount: number, agentCount: number) {
	this.entryNames = Array.from({length: entryCount}, (_, index) => `edge-zone${index % 6}-${index}-entry`);
	this.agentNames = Array.from({length: agentCount}, (_, index) => `side-zone${index % 6}-${index}-agent`);
	this.lost = new Set();
	this.streams = listEntryStreams(this);
});

Then('the entry with most streams keeps at most {int}', function (this: SubsetsWorld, most: number) {
	const count = Math.max(...countBy(this.streams, this.entryNames, 0));
	assert.ok(count <= most, `${count} streams`);
});

Then('the agent with most entries has at most {float} times as many as the one with fewest', function (this: SubsetsWorld, factor: number) {
	const counts = countBy(this.streams, this.agentNames, 1);
	assert.ok(Math.min(...counts) > 0 && Math.max(...counts) / Math.min(...counts) <= factor, `${Math.min(...counts)} to ${Math.max(...counts)} entries`);
});

Then('entries and agents choose the same streams', function (this: SubsetsWorld) {
	assert.deepEqual(listAgentStreams(this, new Set()), this.streams);
});

When(/^one (entry|agent) is lost$/, function (this: SubsetsWorld, role: 'entry' | 'agent') {
	this.lost = new Set([role === 'entry' ? this.entryNames[3] : this.agentNames[3]]);
});

function hasLostEnd({lost}: SubsetsWorld, stream: string): boolean {
	return stream.split('/').some(name => lost.has(name));
}

function countClosed(world: SubsetsWorld, now: ReadonlySet<string>): {closed: number; opened: number; own: number} {
	const others = [...world.streams].filter(stream => !hasLostEnd(world, stream));
	return {
		closed: others.filter(stream => !now.has(stream)).length,
		opened: [...now].filter(stream => !world.streams.has(stream) && !hasLostEnd(world, stream)).length,
		own: world.streams.size - others.length,
	};
}

Then('no stream between the others is closed, and at most as many are opened as it had', function (this: SubsetsWorld) {
	const {closed, opened, own} = countClosed(this, listAgentStreams(this, this.lost));
	assert.equal(closed, 0);
	assert.ok(opened <= own, `${opened} opened, ${own} lost`);
});

Then('once it is forgotten, at most {int} streams between the others are closed', function (this: SubsetsWorld, most: number) {
	const {closed} = countClosed(this, listEntryStreams({
		...this, entryNames: this.entryNames.filter(name => !this.lost.has(name)), agentNames: this.agentNames.filter(name => !this.lost.has(name)),
	}));
	assert.ok(closed <= most, `${closed} closed`);
});

/** Every `step`th name. */
function takeEvery(names: readonly NodeName[], step: number): NodeName[] {
	return names.filter((_, index) => index % step === 0);
}

const lossSteps: Readonly<Record<string, number>> = {half: 2, 'a third': 3, 'a sixth': 6};

When(/^(half|a third|a sixth) of the (entries|agents|both) cannot be reached$/, function (this: SubsetsWorld, share: string, role: string) {
	const step = lossSteps[share];
	this.lost = new Set([
		...(role === 'agents' ? [] : takeEvery(this.entryNames, step)),
		...(role === 'entries' ? [] : takeEvery(this.agentNames, step)),
	]);
});

/** Streams that are open after the loss: both sides are left, and one of them wants it. */
function listOpenStreams(world: SubsetsWorld): string[] {
	const unreachable = new Set(world.entryNames.filter(name => world.lost.has(name)));
	return [...new Set([...world.streams, ...listAgentStreams(world, unreachable)])].filter(stream => !stream.split('/').some(name => world.lost.has(name)));
}

Then('every agent that is left has at least {int} entries that are left', function (this: SubsetsWorld, least: number) {
	const counts = countBy(new Set(listOpenStreams(this)), this.agentNames.filter(name => !this.lost.has(name)), 1);
	assert.ok(Math.min(...counts) >= least, `${Math.min(...counts)} entries`);
});

Then('every entry that is left has at least {int} agents that are left', function (this: SubsetsWorld, least: number) {
	const counts = countBy(new Set(listOpenStreams(this)), this.entryNames.filter(name => !this.lost.has(name)), 0);
	assert.ok(Math.min(...counts) >= least, `${Math.min(...counts)} agents`);
});

When('{int} entries cannot be reached', function (this: SubsetsWorld, count: number) {
	this.lost = new Set(this.entryNames.slice(0, count));
});

/** Neighbours of each entry that is left, in both directions. */
function listNeighbours({entryNames: entries, lost}: SubsetsWorld): Map<NodeName, Set<NodeName>> {
	const left = entries.filter(name => !lost.has(name));
	const neighbours = new Map(left.map(name => [name, new Set<NodeName>()]));
	for (const name of left) {
		for (const other of selectNeighbours(name, entries, lost, defaultSubsetOptions)) {
			if (!lost.has(other)) {
				neighbours.get(name)!.add(other);
				neighbours.get(other)!.add(name);
			}
		}
	}

	return neighbours;
}

function countHops(neighbours: ReadonlyMap<NodeName, ReadonlySet<NodeName>>, from: NodeName): number {
	const reached = new Set([from]);
	let hops = 0;
	for (let edge = [from]; edge.length > 0;) {
		edge = edge.flatMap(name => [...neighbours.get(name)!]).filter(name => {
			const isNew = !reached.has(name);
			reached.add(name);
			return isNew;
		});
		hops += edge.length > 0 ? 1 : 0;
	}

	return reached.size === neighbours.size ? hops : Number.POSITIVE_INFINITY;
}

Then('every entry that is left is at most {int} steps from every other one', function (this: SubsetsWorld, most: number) {
	const neighbours = listNeighbours(this);
	const hops = Math.max(...[...neighbours.keys()].map(name => countHops(neighbours, name)));
	assert.ok(hops <= most, `${hops} steps`);
});

Then('the entry with most neighbours has at most {int}', function (this: SubsetsWorld, most: number) {
	const counts = [...listNeighbours(this).values()].map(({size}) => size);
	assert.ok(Math.max(...counts) <= most, `${Math.max(...counts)} neighbours`);
});
