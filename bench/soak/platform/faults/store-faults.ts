/**
 * A store that refuses, is slow or silent, or forgets its history, and configurations that change.
 */
import {setTimeout as waitFor} from 'node:timers/promises';
import type {Random} from '../../../../src/ports/random.ts';
import type {PlatformFleet} from '../fleet.ts';
import {drawTime} from './drawing.ts';
import type {FaultHandler, FaultTable} from './types.ts';

function createStoreFault(begin: (fleet: PlatformFleet, random: Random) => void, end: (fleet: PlatformFleet) => void): FaultHandler {
	return async (fleet, random) => {
		const time = drawTime(random, 100, 4000);
		begin(fleet, random);
		await waitFor(time);
		end(fleet);
		return `for ${time} ms`;
	};
}

export const storeFaults: FaultTable = {
	'store-refuses': createStoreFault(({store}) => {
		store.setDown(true);
	}, ({store}) => {
		store.setDown(false);
	}),
	'store-silent': createStoreFault(({store}) => {
		store.setSilent(true);
	}, ({store}) => {
		store.setSilent(false);
	}),
	'store-slow': createStoreFault(({store}, random) => {
		store.setDelay(drawTime(random, 50, 1500));
	}, ({store}) => {
		store.setDelay(0);
	}),
	'store-forgets'({store}) {
		store.dropHistory();
		return 'all changes until now';
	},
	configure(fleet, random) {
		return `version ${fleet.writeConfiguration(drawTime(random, 4000, 6000))}`;
	},
};
