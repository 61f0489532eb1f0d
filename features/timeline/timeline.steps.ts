/**
 * Steps of timeline.feature.
 */
import assert from 'node:assert/strict';
import process from 'node:process';
import {Given, Then, When} from '@cucumber/cucumber';
import {getStampTime} from '../../src/core/timeline/hlc.ts';
import {createTimeline, mergeAnswers, type Timeline} from '../../src/core/timeline/logic.ts';
import type {EventSelection, HybridStamp, TimelineReport} from '../../src/core/timeline/types.ts';
import type {Clock} from '../../src/ports/clock.ts';
import {createSeededRandom} from '../../src/ports/random.ts';

type TimelineWorld = {now: number; timelines: Map<string, Timeline>; offsets: Map<string, number>};

const start = 1_700_000_000_000;
const maxDrift = 60_000;

function createFakeClock(getTime: () => number): Clock {
	const startNothing = (): Disposable => ({
		[Symbol.dispose]: () => undefined,
	});
	return {getTime, startTimer: startNothing, startInterval: startNothing};
}

function openTimelines(world: TimelineWorld, names: readonly string[], offsets: readonly number[], capacity = 1000) {
	world.now = start;
	world.timelines = new Map(names.map((node, index) => {
		const clock = createFakeClock(() => world.now + offsets[index]);
		return [node, createTimeline({node, capacity, maxDrift}, clock)];
	}));
}

function mergeAll(world: TimelineWorld, selection: EventSelection = {}, queried = [...world.timelines.keys()]): TimelineReport {
	return mergeAnswers([...world.timelines.values()].map(timeline => timeline.listEvents(selection)), queried, selection);
}

Given('timelines of {string} whose clocks are off by {string} ms', function (this: TimelineWorld, names: string, offsets: string) {
	openTimelines(this, names.split(' '), offsets.split(' ').map(Number));
});

Given('a timeline of {string} that keeps {int} events', function (this: TimelineWorld, name: string, capacity: number) {
	openTimelines(this, [name], [0], capacity);
});

When('a job passes from {string} to {string} to {string} and back in {float} ms a hop', function (this: TimelineWorld, entry: string, home: string, agent: string, step: number) {
	let stamp: HybridStamp = 0;
	for (const [index, name] of [entry, home, agent, home, entry].entries()) {
		const timeline = this.timelines.get(name)!;
		timeline.observeStamp(stamp);
		timeline.record({type: 'submission', task: index * 2});
		timeline.record({type: 'submission', task: (index * 2) + 1});
		stamp = timeline.getStamp();
		this.now += step;
	}
});

When('{string} receives a message from {string}', function (this: TimelineWorld, receiver: string, sender: string) {
	this.timelines.get(receiver)!.observeStamp(this.timelines.get(sender)!.getStamp());
});

When('{int} events are recorded on {string}, one a ms', function (this: TimelineWorld, count: number, name: string) {
	for (let index = 0; index < count; index++) {
		this.timelines.get(name)!.record({type: 'start', task: index});
		this.now++;
	}
});

When('{int} events of customers c0 to c3 and jobs j0 to j7 are recorded in turn on {string}', function (this: TimelineWorld, count: number, name: string) {
	for (let index = 0; index < count; index++) {
		this.timelines.get(name)!.record({type: 'start', customer: `c${index % 4}`, job: `j${index % 8}`});
		this.now++;
	}
});

Then('the merged events are in the order in which they were recorded', function (this: TimelineWorld) {
	assert.deepEqual(mergeAll(this).events.map(event => event.task), Array.from({length: 10}, (_, index) => index));
});

Then('the next stamp of {string} is {int} ms ahead of its clock', function (this: TimelineWorld, name: string, ahead: number) {
	assert.equal(Math.floor(getStampTime(this.timelines.get(name)!.getStamp())) - this.now, ahead);
});

Then('{string} lists the events {int} to {int}', function (this: TimelineWorld, name: string, first: number, last: number) {
	const tasks = this.timelines.get(name)!.listEvents({}).events.map(event => event.task!);
	assert.deepEqual(tasks, Array.from({length: last - first + 1}, (_, index) => first + index));
});

Then(/^the report since event (\d+) names (none|".+") as incomplete$/, function (this: TimelineWorld, event: string, names: string) {
	const {incomplete} = mergeAll(this, {since: start + Number(event)});
	assert.deepEqual(incomplete, names === 'none' ? [] : names.replaceAll('"', '').split(' '));
});

Then(/^selecting ({.*}) gives (\d+) events$/, function (this: TimelineWorld, selection: string, count: string) {
	assert.equal(mergeAll(this, JSON.parse(selection) as EventSelection).events.length, Number(count));
});

Then('a report that queried {string} names {string} as missing', function (this: TimelineWorld, queried: string, missing: string) {
	assert.deepEqual(mergeAll(this, {}, queried.split(' ')).missing, missing.split(' '));
});

function checkRandomRun(world: TimelineWorld, seed: number, count: number, maxOffset: number) {
	const random = createSeededRandom(seed);
	const names = Array.from({length: count}, (_, index) => `n${index}`);
	openTimelines(world, names, names.map(() => random.getInteger(2 * maxOffset) - maxOffset));
	const inbox: Array<{stamp: HybridStamp; cause: number}> = [];
	const causes = new Map<number, number[]>();
	const lastOf = new Map<string, number>();
	for (let step = 0; step < 100; step++) {
		const name = names[random.getInteger(count)];
		const timeline = world.timelines.get(name)!;
		const previous = lastOf.has(name) ? [lastOf.get(name)!] : [];
		if (inbox.length > 0 && random.getFloat() < 0.6) {
			const [message] = inbox.splice(random.getInteger(inbox.length), 1);
			timeline.observeStamp(message.stamp);
			previous.push(message.cause);
		}

		timeline.record({type: 'start', task: step});
		causes.set(step, previous);
		lastOf.set(name, step);
		inbox.push({stamp: timeline.getStamp(), cause: step});
		world.now += random.getFloat() * 3;
	}

	const order = new Map(mergeAll(world).events.map((event, index) => [event.task!, index]));
	for (const [effect, previous] of causes) {
		assert.ok(previous.every(cause => order.get(cause)! < order.get(effect)!), `seed ${seed}, event ${effect}`);
	}
}

Then('{int} random runs of {int} processes with clocks off by up to {int} ms keep causal order', function (this: TimelineWorld, runs: number, count: number, maxOffset: number) {
	const seed = Number(process.env.SEED ?? 1);
	console.log(`SEED=${seed}`);
	for (let run = 0; run < runs; run++) {
		checkRandomRun(this, seed + run, count, maxOffset);
	}
});
