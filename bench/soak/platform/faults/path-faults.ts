/**
 * Paths between processes, callers, workers and the store that are reset, silent, refused, slow or half open.
 */
import {setTimeout as waitFor} from 'node:timers/promises';
import type {Random} from '../../../../src/ports/random.ts';
import {proxiedPaths, type ProxiedPath} from '../fleet.ts';
import type {Proxy} from '../proxy.ts';
import {drawHalf, drawOne, drawTime} from './drawing.ts';
import type {FaultHandler, FaultTable} from './types.ts';

/** Impairs one path; returns what ends the impairment. */
type PathMode = (proxy: Proxy, random: Random) => () => Promise<void> | void;

const minTimeMs = 100;
const maxTimeMs = 4000;
const selectAll = (): boolean => true;

function silence(proxy: Proxy, sides: ReadonlyArray<'client' | 'server'>): () => void {
	for (const side of sides) {
		proxy.directions[side].setSilent(true);
	}

	return () => {
		for (const side of sides) {
			proxy.directions[side].setSilent(false);
		}
	};
}

const endNothing = (): void => {
	// The fault is over at once.
};

const modes: Readonly<Record<string, PathMode>> = {
	silent: proxy => silence(proxy, ['client', 'server']),
	'silent-to-client': proxy => silence(proxy, ['client']),
	'silent-to-server': proxy => silence(proxy, ['server']),
	reset(proxy) {
		proxy.reset(selectAll);
		return endNothing;
	},
	refused(proxy) {
		proxy.refuse();
		proxy.reset(selectAll);
		return async () => proxy.listen();
	},
	'half-open-client'(proxy) {
		proxy.breakSide('server', selectAll);
		return endNothing;
	},
	'half-open-server'(proxy) {
		proxy.breakSide('client', selectAll);
		return endNothing;
	},
	slow(proxy, random) {
		const {client, server} = proxy.directions;
		client.delayMs = drawTime(random, 5, 300);
		server.delayMs = drawTime(random, 5, 300);
		return () => {
			client.delayMs = 0;
			server.delayMs = 0;
		};
	},
	narrow(proxy, random) {
		const {client, server} = proxy.directions;
		client.bandwidth = drawTime(random, 2, 50);
		server.bandwidth = client.bandwidth;
		return () => {
			client.bandwidth = Number.POSITIVE_INFINITY;
			server.bandwidth = Number.POSITIVE_INFINITY;
		};
	},
};

function createPathFault(path: ProxiedPath, impair: PathMode): FaultHandler {
	return async (fleet, random) => {
		const all = fleet.proxies[path];
		const proxies = random.getFloat() < 0.7 ? drawOne(random, all) : drawHalf(random, all);
		const time = drawTime(random, minTimeMs, maxTimeMs);
		const ends = proxies.map(proxy => impair(proxy, random));
		await waitFor(time);
		for (const end of ends) {
			await end();
		}

		return `${proxies.map(({address}) => address).join(', ')} for ${time} ms`;
	};
}

export const pathFaults: FaultTable = Object.fromEntries(proxiedPaths.flatMap(path =>
	Object.entries(modes).map(([mode, impair]) => [`${path}-path-${mode}`, createPathFault(path, impair)])));
