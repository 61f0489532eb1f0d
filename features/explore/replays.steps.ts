/**
 * Steps for replay files.
 */
import assert from 'node:assert/strict';
import {mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {After, Then, When} from '@cucumber/cucumber';
import type {Result} from 'ts-results-es';
import {drawPlay} from '../../bench/explore/drawing.ts';
import {faultNames} from '../../bench/explore/faults.ts';
import {
	decodeReplay, readReplay, writeReplay, type Replay, type ReplayError,
} from '../../bench/explore/replays.ts';
import type {Play} from '../../bench/explore/types.ts';

type ReplayWorld = {
	folder?: string;
	play: Play;
	file: string;
	replay: Result<Replay, ReplayError>;
};

After(function (this: ReplayWorld) {
	if (this.folder !== undefined) {
		rmSync(this.folder, {recursive: true});
	}
});

When('the play of seed {int} is written to a replay file and read again', function (this: ReplayWorld, seed: number) {
	this.folder = mkdtempSync(path.join(tmpdir(), 'replays-'));
	this.play = drawPlay(seed, faultNames);
	this.file = writeReplay(this.folder, {
		play: this.play,
		breach: {
			kind: 'twice', text: 'made up', at: 1, task: '0000000000000001.0.0.0',
		},
	}, ['1.0: made up']);
	this.replay = readReplay(this.file);
});

When('a replay file with the text {string} is read', function (this: ReplayWorld, text: string) {
	this.replay = decodeReplay(text, 'made-up.json');
});

Then('the read play is the same', function (this: ReplayWorld) {
	assert.deepEqual(this.replay.unwrap(), {play: this.play, task: '0000000000000001.0.0.0'});
});

Then('the cause in the file is empty', function (this: ReplayWorld) {
	const {cause, violation, trace} = JSON.parse(readFileSync(this.file, 'utf8')) as Record<string, unknown>;
	assert.deepEqual({cause, violation, trace}, {cause: '', violation: 'made up', trace: ['1.0: made up']});
});

Then('it is refused with a message that contains {string}', function (this: ReplayWorld, text: string) {
	const {message} = this.replay.unwrapErr();
	assert.ok(message.includes(text) && message.includes('made-up.json'), message);
});
