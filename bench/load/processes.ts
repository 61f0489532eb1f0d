/**
 * Samples memory use, processor time and message counters of the processes of a rig.
 */
import {readFile} from 'node:fs/promises';
import type {Rig} from '../rig/rig.ts';

/** Resource use and counters of one process at the time of the sample. */
export type ProcessSample = {
	readonly name: string;
	/** Processor time since the start of the process, in ms. */
	readonly cpuMs: number;
	/** Resident memory, in MB. */
	readonly residentMb: number;
	/** Messages sent to other processes, by type. */
	readonly sent: Readonly<Record<string, number>>;
	readonly gossipBytes: number;
};

/** Unit of processor time in `/proc/PID/stat`: 100 ticks per second. */
const clockTickMs = 10;
const messagePattern = /^medlardale_peer_messages_total{direction="sent",type="([\w-]+)"} (\d+)/gm;
const gossipPattern = /^medlardale_gossip_bytes_total{direction="sent"} (\d+)/m;

async function readProcessStatus(pid: number): Promise<{cpuMs: number; residentMb: number}> {
	const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	const status = await readFile(`/proc/${pid}/status`, 'utf8');
	return {
		cpuMs: (Number(fields[11]) + Number(fields[12])) * clockTickMs,
		residentMb: Math.round(Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 102.4) / 10,
	};
}

async function readMetrics(address: string): Promise<string> {
	try {
		const response = await fetch(`http://${address}/metrics`);
		return await response.text();
	} catch {
		return '';
	}
}

/**
 * Samples every entry and agent of a rig.
 *
 * @param rig - The rig.
 * @param options - `withMetrics`: also reads message counters, which makes the sampled processes load their metrics library.
 * @returns One sample per process.
 */
export async function readSamples(rig: Rig, {withMetrics}: {readonly withMetrics: boolean}): Promise<ProcessSample[]> {
	const names = [...rig.processes.keys()].filter(name => /^(entry|agent)-/.test(name) && rig.getProcess(name).getPid() > 0);
	return Promise.all(names.map(async name => {
		const status = await readProcessStatus(rig.getProcess(name).getPid());
		const text = withMetrics ? await readMetrics(rig.getControlAddress(name)) : '';
		const sent = Object.fromEntries([...text.matchAll(messagePattern)].map(match => [match[1], Number(match[2])]));
		return {
			name, ...status, sent, gossipBytes: Number(gossipPattern.exec(text)?.[1] ?? 0),
		};
	}));
}

/** Messages and processor time between two samples, and the highest memory use of a process of each role. */
export type UsageReport = {
	readonly phase: string;
	readonly messagesPerTask: number;
	readonly entryCpuMsPerTask: number;
	readonly agentCpuMsPerTask: number;
	readonly entryResidentMb: number;
	readonly agentResidentMb: number;
	readonly sent: Readonly<Record<string, number>>;
};

/** Types of the sent messages that the figures count; messages of other types are left out. */
const dispatchTypes = ['submit', 'answer', 'start', 'result', 'drop', 'refuse', 'load'];

function computeDelta(before: readonly ProcessSample[], after: readonly ProcessSample[], get: (sample: ProcessSample) => number, role = ''): number {
	const earlier = new Map(before.map(sample => [sample.name, get(sample)]));
	return after.filter(({name}) => name.startsWith(role)).reduce((sum, sample) => sum + get(sample) - (earlier.get(sample.name) ?? 0), 0);
}

function getMaxResident(samples: readonly ProcessSample[], role: string): number {
	return Math.max(0, ...samples.filter(({name}) => name.startsWith(role)).map(({residentMb}) => residentMb));
}

/**
 * Computes the messages, processor time and memory that a phase took.
 *
 * @param phase - Name of the phase.
 * @param before - Samples at its start.
 * @param after - Samples at its end.
 * @param tasks - Number of tasks of the jobs that completed.
 * @returns The figures.
 */
export function createUsageReport(phase: string, before: readonly ProcessSample[], after: readonly ProcessSample[], tasks: number): UsageReport {
	const sent = Object.fromEntries(dispatchTypes.map(type => [type, computeDelta(before, after, sample => sample.sent[type] ?? 0)]));
	const messages = Object.values(sent).reduce((sum, count) => sum + count, 0);
	return {
		phase,
		messagesPerTask: Math.round(messages / tasks * 1000) / 1000,
		entryCpuMsPerTask: Math.round(computeDelta(before, after, ({cpuMs}) => cpuMs, 'entry') / tasks * 1000) / 1000,
		agentCpuMsPerTask: Math.round(computeDelta(before, after, ({cpuMs}) => cpuMs, 'agent') / tasks * 1000) / 1000,
		entryResidentMb: getMaxResident(after, 'entry'),
		agentResidentMb: getMaxResident(after, 'agent'),
		sent,
	};
}
