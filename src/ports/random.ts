/**
 * Port for random numbers, so that a run of the decision logic can be repeated from its seed.
 */

/** Source of random numbers. */
export type Random = {
	/** Returns a number in [0, 1). */
	getFloat(): number;
	/** Returns an integer in [0, limit). */
	getInteger(limit: number): number;
};

const increment = 0x6D_2B_79_F5;
const twoToThe32 = 4_294_967_296;

/**
 * Creates a deterministic source (mulberry32).
 *
 * @param seed - Any integer; the same seed gives the same sequence.
 * @returns The random source.
 */
export function createSeededRandom(seed: number): Random {
	let state = seed >>> 0;

	function getFloat(): number {
		state = (state + increment) >>> 0;
		let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
		mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed);
		return ((mixed ^ (mixed >>> 14)) >>> 0) / twoToThe32;
	}

	return {
		getFloat,
		getInteger: limit => Math.floor(getFloat() * limit),
	};
}
