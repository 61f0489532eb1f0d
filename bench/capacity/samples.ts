/**
 * Samples memory, processor time, written bytes and published counters of processes.
 */
import {readFile} from 'node:fs/promises';

/** Resident memory of a process, in MB of 2^20 bytes. */
export type MemorySample = {
	readonly residentMb: number;
	/** Anonymous pages: heap, stacks and other private memory. */
	readonly anonymousMb: number;
	/** Pages of mapped files, such as the binary; the kernel shares them between processes and can reclaim them. */
	readonly fileMb: number;
};

/** Counters of the kernel for a process since its start. */
export type UsageSample = {
	readonly cpuMs: number;
	/** Bytes written to streams and files, without datagrams. */
	readonly writtenBytes: number;
	/** Number of calls that wrote these bytes. */
	readonly writeCalls: number;
};

/** Counters that a process publishes as metrics. */
export type CounterSample = {
	/** Messages sent to other processes, by type. */
	readonly sent: Readonly<Record<string, number>>;
	/** Bytes of datagrams sent, without headers. */
	readonly gossipBytes: number;
};

/** Unit of processor time in `/proc/PID/stat`: 100 ticks per second. */
const clockTickMs = 10;
const kilobytesPerMb = 1024;

function findNumber(text: string, pattern: RegExp): number {
	return Number(pattern.exec(text)?.[1] ?? 0);
}

/**
 * Reads the memory of a process.
 *
 * @param pid - Process id.
 * @returns Its resident memory by kind.
 */
export async function readMemory(pid: number): Promise<MemorySample> {
	const status = await readFile(`/proc/${pid}/status`, 'utf8');
	return {
		residentMb: findNumber(status, /VmRSS:\s+(\d+)/) / kilobytesPerMb,
		anonymousMb: findNumber(status, /RssAnon:\s+(\d+)/) / kilobytesPerMb,
		fileMb: (findNumber(status, /RssFile:\s+(\d+)/) + findNumber(status, /RssShmem:\s+(\d+)/)) / kilobytesPerMb,
	};
}

/**
 * Reads processor time and written bytes of a process.
 *
 * @param pid - Process id.
 * @returns Its counters.
 */
export async function readUsage(pid: number): Promise<UsageSample> {
	const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	const io = await readFile(`/proc/${pid}/io`, 'utf8');
	return {
		cpuMs: (Number(fields[11]) + Number(fields[12])) * clockTickMs,
		writtenBytes: findNumber(io, /wchar: (\d+)/),
		writeCalls: findNumber(io, /syscw: (\d+)/),
	};
}

/**
 * Reads the counters that a process publishes; the first call makes that process load its metrics library.
 *
 * @param port - Its port for other processes and operators.
 * @returns The counters.
 */
export async function readCounters(port: number): Promise<CounterSample> {
	const response = await fetch(`http://127.0.0.1:${port}/metrics`);
	const text = await response.text();
	const messages = text.matchAll(/^medlardale_peer_messages_total{direction="sent",type="([\w-]+)"} (\d+)/gm);
	return {
		sent: Object.fromEntries([...messages].map(match => [match[1], Number(match[2])])),
		gossipBytes: findNumber(text, /^medlardale_gossip_bytes_total{direction="sent"} (\d+)/m),
	};
}

/**
 * Computes the difference of two samples.
 *
 * @param before - The earlier one.
 * @param after - The later one.
 * @returns The usage between them.
 */
export function computeUsage(before: UsageSample, after: UsageSample): UsageSample {
	return {
		cpuMs: after.cpuMs - before.cpuMs,
		writtenBytes: after.writtenBytes - before.writtenBytes,
		writeCalls: after.writeCalls - before.writeCalls,
	};
}
