/**
 * Collects the chunks of a body in a few blocks, so that its memory depends on its size, not on the number of its chunks.
 */
import {Buffer} from 'node:buffer';

/** A body that is being received. */
export type BodyBuffer = {
	/** Copies a chunk, so that the memory that Node.js received it in is freed. */
	addChunk(chunk: Uint8Array): void;
	/** Returns the bytes of the body so far. */
	getSize(): number;
	/** Returns the bytes allocated, including a constant for each block. */
	getAllocatedBytes(): number;
	/** Returns the whole body. */
	getBytes(): Uint8Array;
};

const minBlockBytes = 1024;
const maxBlockBytes = 65_536;

/** Memory of the objects of a block, in bytes; measured at 199 to 236 for a chunk (docs/incidents/clients-outside-limits.md). */
const blockOverheadBytes = 256;

/**
 * Creates an empty buffer.
 *
 * @returns The buffer; it has no memory before the first chunk.
 */
export function createBodyBuffer(): BodyBuffer {
	const blocks: Uint8Array[] = [];
	let allocated = 0;
	let size = 0;
	/** Bytes used of the last block. */
	let used = 0;

	function addBlock(needed: number): Uint8Array {
		// Doubling keeps the number of blocks small; the bound keeps small what the last block leaves unused.
		const length = Math.max(Math.min(maxBlockBytes, Math.max(needed, allocated)), minBlockBytes);
		const block = Buffer.allocUnsafeSlow(length);
		blocks.push(block);
		allocated += length;
		used = 0;
		return block;
	}

	return {
		addChunk(chunk) {
			let position = 0;
			while (position < chunk.length) {
				const last = blocks.at(-1);
				const block = last === undefined || used === last.length ? addBlock(chunk.length - position) : last;
				const part = chunk.subarray(position, position + block.length - used);
				block.set(part, used);
				used += part.length;
				position += part.length;
			}

			size += chunk.length;
		},
		getSize: () => size,
		getAllocatedBytes: () => allocated + (blocks.length * blockOverheadBytes),
		getBytes: () => Buffer.concat(blocks, size),
	};
}
