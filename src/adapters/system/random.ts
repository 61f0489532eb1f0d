/**
 * The random source of a process.
 */
import {randomInt} from 'node:crypto';
import {createSeededRandom, type Random} from '../../ports/random.ts';

const seedLimit = 2 ** 32;

/**
 * Creates a random source with an unpredictable seed.
 *
 * @returns The random source; not suitable for secrets.
 */
export function createSystemRandom(): Random {
	return createSeededRandom(randomInt(seedLimit));
}
