/**
 * Resident memory and open descriptors of another process.
 */
import {readdirSync, readFileSync} from 'node:fs';

const kilobytesPerMegabyte = 1024;
const sampleMs = 25;

/** A process is idle when it slept in nearly all of the last samples; timers wake it now and then. */
const idleSamples = 40;
const maxAwakeSamples = 4;

/** Peaks of a process since the observation began; memory since the process began. */
export type ProcessObserver = Disposable & {
	/** Returns whether the process still runs. */
	isAlive(): boolean;
	/** Resolves when the process is idle or has ended, or after `limitMs`. */
	waitIdle(limitMs: number): Promise<void>;
	/** Returns the peak of the resident memory, in MB, and of the number of open descriptors. */
	getPeaks(): {readonly memoryMb: number; readonly descriptors: number};
};

/**
 * Observes a process until the observer is disposed of.
 *
 * @param pid - Id of the process.
 * @returns The observer.
 */
export function observeProcess(pid: number): ProcessObserver {
	let memoryMb = 0;
	let descriptors = 0;
	let isAlive = true;
	/** Whether the process was awake in each of the last samples. */
	const awake: boolean[] = [];

	function sample(): void {
		try {
			descriptors = Math.max(descriptors, readdirSync(`/proc/${pid}/fd`).length);
			const status = readFileSync(`/proc/${pid}/status`, 'utf8');
			memoryMb = Math.max(memoryMb, Number(/^VmHWM:\s+(\d+) kB/m.exec(status)?.[1] ?? 0) / kilobytesPerMegabyte);
			const state = /^State:\s+(\w)/m.exec(status)?.[1];
			isAlive &&= state !== 'Z';
			awake.push(state === 'R');
		} catch {
			// The process has ended.
			isAlive = false;
		}
	}

	sample();
	const timer = setInterval(sample, sampleMs);
	return {
		isAlive() {
			sample();
			return isAlive;
		},
		async waitIdle(limitMs) {
			awake.length = 0;
			const end = Date.now() + limitMs;
			while (Date.now() < end) {
				if (!isAlive || (awake.length >= idleSamples && awake.slice(-idleSamples).filter(Boolean).length <= maxAwakeSamples)) {
					return;
				}

				await new Promise(resolve => {
					setTimeout(resolve, sampleMs);
				});
			}
		},
		getPeaks() {
			sample();
			return {memoryMb, descriptors};
		},
		[Symbol.dispose]() {
			clearInterval(timer);
		},
	};
}
