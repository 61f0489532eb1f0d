/**
 * Steps that play kept failures again.
 */
import assert from 'node:assert/strict';
import {readdirSync} from 'node:fs';
import path from 'node:path';
import {Then, When} from '@cucumber/cucumber';
import {runPlay} from '../../bench/explore/plays.ts';
import {readReplay} from '../../bench/explore/replays.ts';
import type {Breach} from '../../bench/explore/types.ts';

type RegressionWorld = {
	outcomes: Array<{file: string; breach: Breach | undefined}>;
};

When('every file in {string} is played', {timeout: 300_000}, function (this: RegressionWorld, folder: string) {
	const files = readdirSync(folder).filter(name => name.endsWith('.json'));
	this.outcomes = files.map(file => ({file, breach: runPlay(readReplay(path.join(folder, file)).unwrap().play).breach}));
});

Then('at least {int} file(s) was/were played', function (this: RegressionWorld, least: number) {
	assert.ok(this.outcomes.length >= least, `${this.outcomes.length} files`);
});

Then('no play broke a promise', function (this: RegressionWorld) {
	const broken = this.outcomes.flatMap(({file, breach}) => (breach === undefined ? [] : [`${file}: ${breach.kind}: ${breach.text}`]));
	assert.deepEqual(broken, []);
});
