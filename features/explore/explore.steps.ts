/**
 * Steps for the exploration of faults in combination.
 */
import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {drawPlay} from '../../bench/explore/drawing.ts';
import {faultNames, listEnabledFaults} from '../../bench/explore/faults.ts';
import {PairCounts} from '../../bench/explore/pairs.ts';
import {runPlay} from '../../bench/explore/plays.ts';
import type {FaultName, Failure} from '../../bench/explore/types.ts';

type ExploreWorld = {
	pairs: PairCounts;
	failures: readonly Failure[];
};

function parseFaults(list: string): readonly FaultName[] {
	return list.split(',') as FaultName[];
}

When('plays with {string}, {string} and {string} are counted, the last one failed', function (this: ExploreWorld, first: string, second: string, third: string) {
	this.pairs = new PairCounts(['lateOrders', 'stalls', 'cancels']);
	this.pairs.recordPlay(parseFaults(first), false);
	this.pairs.recordPlay(parseFaults(second), false);
	this.pairs.recordPlay(parseFaults(third), true);
});

When('{int} plays from seed {int} are explored', {timeout: 300_000}, function (this: ExploreWorld, count: number, first: number) {
	this.failures = Array.from({length: count}, (_, index) => drawPlay(first + index, faultNames)).flatMap(play => {
		const {breach} = runPlay(play);
		return breach === undefined ? [] : [{play, breach}];
	});
});

Then('the pair {string} has {int} plays and {int} failures', function (this: ExploreWorld, list: string, plays: number, failures: number) {
	const pair = this.pairs.listPairs().find(({faults}) => parseFaults(list).every(name => faults.includes(name)) && faults.every(name => parseFaults(list).includes(name)));
	assert.deepEqual([pair?.plays, pair?.failures], [plays, failures]);
});

Then('the pairs without a play are {string}', function (this: ExploreWorld, list: string) {
	assert.deepEqual(this.pairs.listUnplayed().map(({faults}) => faults.join(',')), [list]);
});

Then('no explored play broke a promise', function (this: ExploreWorld) {
	const lines = this.failures.map(({play: {seed, scenario}, breach}) => `seed ${seed} (${listEnabledFaults(scenario.faults).join(', ')}): ${breach.kind}: ${breach.text}`);
	assert.deepEqual(lines, []);
});
