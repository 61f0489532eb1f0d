/**
 * Process that runs plays for the exploration: one response per request, until its parent disconnects.
 */
import process from 'node:process';
import {runPlay} from './plays.ts';
import {shrinkFailure} from './shrinking.ts';
import type {Failure, PlayRequest, PlayResponse} from './types.ts';

type Handlers = {
	readonly [Type in PlayRequest['type']]: (request: Extract<PlayRequest, {type: Type}>) => PlayResponse;
};

function createResponse(failure: Failure): PlayResponse {
	return {failure, trace: runPlay(failure.play, failure.breach.task ?? '').trace};
}

const handlers: Handlers = {
	play({play}) {
		const {breach} = runPlay(play);
		return {failure: breach && {play, breach}, trace: []};
	},
	shrink: ({failure, maxPlays}) => createResponse(shrinkFailure(failure, play => runPlay(play).breach, maxPlays)),
};

process.on('message', (request: PlayRequest) => {
	const handler = handlers[request.type] as (request: PlayRequest) => PlayResponse;
	process.send!(handler(request));
});
