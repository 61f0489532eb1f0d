/**
 * Measures the memory that a value retains.
 */
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

// Makes the garbage collector callable without a command-line flag of Node.js.
setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

function readBytes(): number {
	collectGarbage();
	collectGarbage();
	const {heapUsed, external} = process.memoryUsage();
	return heapUsed + external;
}

/**
 * Measures the memory that a value retains on the heap and in buffers.
 *
 * @param create - Creates the value.
 * @returns The value and its size in bytes.
 */
export function measureHeap<Value>(create: () => Value): {readonly value: Value; readonly bytes: number} {
	const before = readBytes();
	const value = create();
	return {value, bytes: readBytes() - before};
}
