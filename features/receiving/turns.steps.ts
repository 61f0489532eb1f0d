/**
 * Steps of features/receiving/turns.feature.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
	addSource, createReadTurns, maxPieceBytes, recordPiece, removeSource, startTurn, takeSource, type ReadTurns,
} from '../../src/core/receiving/turns.ts';

type Source = {bytes: number; passed: number};

type TurnsWorld = {
	turns: ReadTurns<Source> | undefined;
	sources: Source[];
};

function addWaiting(turns: ReadTurns<Source>, source: Source): void {
	addSource(turns, source, source.bytes > maxPieceBytes ? 'long' : 'short');
}

Given('{int} connections with {int} bytes each', function (this: TurnsWorld, count: number, bytes: number) {
	this.turns ??= createReadTurns();
	this.sources ??= [];
	for (let index = 0; index < count; index++) {
		const source = {bytes, passed: 0};
		this.sources.push(source);
		addWaiting(this.turns, source);
	}
});

When('connection {int} closes', function (this: TurnsWorld, position: number) {
	removeSource(this.turns!, this.sources[position - 1]);
});

When('a turn passes', function (this: TurnsWorld) {
	const turns = this.turns!;
	startTurn(turns);
	for (let source = takeSource(turns); source !== undefined; source = takeSource(turns)) {
		const piece = Math.min(source.bytes, maxPieceBytes);
		source.bytes -= piece;
		source.passed += piece;
		recordPiece(turns, piece);
		if (source.bytes > 0) {
			addWaiting(turns, source);
		}
	}
});

Then('{int} connections have passed on {int} bytes each', function (this: TurnsWorld, count: number, bytes: number) {
	assert.equal(this.sources.filter(({passed}) => passed === bytes).length, count);
});
