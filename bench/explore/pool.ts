/**
 * Processes that run plays, one at a time each.
 */
import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import path from 'node:path';
import PQueue from 'p-queue';
import type {PlayRequest, PlayResponse} from './types.ts';

const playerFile = path.join(import.meta.dirname, 'player.ts');

/** Longest time for an answer to each request, in ms. */
const timeLimitsMs: Readonly<Record<PlayRequest['type'], number>> = {play: 120_000, shrink: 1_200_000};

async function waitForResponse(player: ChildProcess, signal: AbortSignal): Promise<PlayResponse> {
	const [response] = await once(player, 'message', {signal}) as [PlayResponse];
	return response;
}

async function waitForExit(player: ChildProcess, signal: AbortSignal): Promise<never> {
	const [code, name] = await once(player, 'exit', {signal}) as [number | null, string | null];
	throw new Error(`the process of the play ended: ${code ?? name}`);
}

/** Sends a request to a process and waits for the answer, the end of the process or the time limit. */
async function callPlayer(player: ChildProcess, request: PlayRequest): Promise<PlayResponse> {
	const settled = new AbortController();
	const limitMs = timeLimitsMs[request.type];
	const signal = AbortSignal.any([settled.signal, AbortSignal.timeout(limitMs)]);
	try {
		player.send(request);
		return await Promise.race([waitForResponse(player, signal), waitForExit(player, signal)]);
	} catch (error) {
		throw signal.aborted ? new Error(`the play took longer than ${limitMs} ms`) : error;
	} finally {
		settled.abort();
	}
}

/** A pool of processes; disposing of it ends them. */
export class PlayPool implements AsyncDisposable {
	readonly #queue: PQueue;
	readonly #players = new Set<ChildProcess>();
	readonly #idlePlayers: ChildProcess[] = [];

	/** @param size - Number of processes. */
	constructor(size: number) {
		this.#queue = new PQueue({concurrency: size});
	}

	/**
	 * Runs a request on the next free process.
	 *
	 * @param request - The request.
	 * @returns The answer; rejected if the process ends or the request takes too long.
	 */
	async submitRequest(request: PlayRequest): Promise<PlayResponse> {
		return this.#queue.add(async () => {
			const player = this.#idlePlayers.pop() ?? this.#startPlayer();
			try {
				const response = await callPlayer(player, request);
				this.#idlePlayers.push(player);
				return response;
			} catch (error) {
				await this.#endPlayer(player);
				throw error;
			}
		});
	}

	/** Ends the processes, and waits for that. */
	async [Symbol.asyncDispose](): Promise<void> {
		await Promise.all(Array.from(this.#players, async player => this.#endPlayer(player)));
	}

	#startPlayer(): ChildProcess {
		const player = fork(playerFile, {execArgv: ['--import', 'tsx'], serialization: 'advanced'});
		this.#players.add(player);
		return player;
	}

	async #endPlayer(player: ChildProcess): Promise<void> {
		this.#players.delete(player);
		if (player.exitCode === null && player.signalCode === null) {
			const exit = once(player, 'exit');
			player.kill('SIGKILL');
			await exit;
		}
	}
}
