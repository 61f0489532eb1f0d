/**
 * Steps for shrinking failures, with made-up conditions for a failure.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {drawPlay} from '../../bench/explore/drawing.ts';
import {faultNames, listEnabledFaults} from '../../bench/explore/faults.ts';
import {shrinkFailure} from '../../bench/explore/shrinking.ts';
import type {
	Breach, BreachKind, FaultName, Failure, Play,
} from '../../bench/explore/types.ts';
import {noFaults} from '../../bench/emulator/types.ts';

/** A made-up condition for a failure. */
type Condition = {
	readonly faults: readonly FaultName[];
	readonly entries: number;
	readonly workers: number;
	readonly milliseconds: number;
	/** Only seeds that this divides fail. */
	readonly seedStep: number;
	/** What is broken by plays that do not meet the condition, if anything. */
	readonly otherwise?: BreachKind;
};

type ShrinkingWorld = {
	play: Play;
	condition: Condition;
	playCount: number;
	shrunk: Failure;
};

const firstSeed = 30;

function createBreach(kind: BreachKind): Breach {
	return {
		kind, text: kind, at: undefined, task: undefined,
	};
}

function findBreach({faults, entries, workers, milliseconds, seedStep, otherwise}: Condition, play: Play): Breach | undefined {
	const {scenario, seed} = play;
	const isMet = faults.every(name => scenario.faults[name] > 0) && scenario.entries >= entries
		&& scenario.workers.length >= workers && play.milliseconds >= milliseconds && seed % seedStep === 0;
	if (isMet) {
		return createBreach('twice');
	}

	return otherwise && createBreach(otherwise);
}

function parseFaults(list: string): readonly FaultName[] {
	return list.split(',') as FaultName[];
}

Given('a play of {int} ms with {int} entries, {int} workers and the faults {string}', function (this: ShrinkingWorld, milliseconds: number, entries: number, workers: number, faults: string) {
	const {scenario} = drawPlay(firstSeed, faultNames);
	this.play = {
		seed: firstSeed,
		milliseconds,
		scenario: {
			...scenario,
			entries,
			workers: Array.from({length: workers}, () => scenario.workers[0]),
			kinds: Array.from({length: 3}, (_, index) => ({...scenario.kinds[0], name: `k${index + 1}`})),
			faults: {...noFaults, ...Object.fromEntries(parseFaults(faults).map(name => [name, 0.5]))},
		},
	};
});

Given('it fails with {string}, {int} entries, {int} workers and {int} ms or more', function (this: ShrinkingWorld, faults: string, entries: number, workers: number, milliseconds: number) {
	this.condition = {
		faults: parseFaults(faults), entries, workers, milliseconds, seedStep: 1,
	};
});

Given('it fails with every {int}th seed only', function (this: ShrinkingWorld, seedStep: number) {
	this.condition = {...this.condition, seedStep};
});

Given('all other plays fail in another way', function (this: ShrinkingWorld) {
	this.condition = {...this.condition, otherwise: 'unanswered'};
});

When('it is shrunk with at most {int} plays', function (this: ShrinkingWorld, maxPlays: number) {
	const breach = findBreach(this.condition, this.play);
	assert.ok(breach, 'the play does not fail');
	this.playCount = 0;
	this.shrunk = shrinkFailure({play: this.play, breach}, play => {
		this.playCount++;
		return findBreach(this.condition, play);
	}, maxPlays);
});

Then('{string}, {int} entries, {int} workers and {int} kind(s) are left', function (this: ShrinkingWorld, faults: string, entries: number, workers: number, kinds: number) {
	const {scenario} = this.shrunk.play;
	assert.deepEqual(
		[new Set(listEnabledFaults(scenario.faults)), scenario.entries, scenario.workers.length, scenario.kinds.length],
		[new Set(parseFaults(faults)), entries, workers, kinds],
	);
});

Then('at least {int} ms are left, and at most {int} percent more', function (this: ShrinkingWorld, least: number, percent: number) {
	const {milliseconds} = this.shrunk.play;
	assert.ok(milliseconds >= least && milliseconds <= least * (1 + (percent / 100)), `${milliseconds} ms`);
});

Then('the shrunk play fails', function (this: ShrinkingWorld) {
	assert.deepEqual(findBreach(this.condition, this.shrunk.play), this.shrunk.breach);
});

Then('at most {int} plays were run', function (this: ShrinkingWorld, most: number) {
	assert.ok(this.playCount <= most, `${this.playCount} plays`);
});
