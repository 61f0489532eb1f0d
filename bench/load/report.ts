/**
 * Computes the figures of streams from the records of their jobs, and formats tables.
 */
import {build, type Histogram} from 'hdr-histogram-js';
import {formatTable} from '../../src/commands/table-text.ts';
import type {JobRecord} from './generator.ts';
import type {Phase} from './plan.ts';

/** Figures of one stream in one phase. */
export type StreamReport = {
	readonly phase: string;
	readonly stream: string;
	readonly jobs: number;
	readonly tasksPerSecond: number;
	/** Share of jobs that completed. */
	readonly success: number;
	readonly reasons: Readonly<Record<string, number>>;
	/** Percentiles of the response time, in ms. */
	readonly p50: number;
	readonly p99: number;
	readonly p999: number;
	/** Percentiles of the response time divided by the ideal response time. */
	readonly ratio50: number;
	readonly ratio99: number;
	/** Median of the response time minus the ideal, in ms. */
	readonly overhead50: number;
	/** 99th percentile of the delay of submissions by the generator, in ms. */
	readonly lag99: number;
};

/** Histograms hold integers; values are recorded in thousandths. */
const unitsPerValue = 1000;

/** Added to the ideal response time for the way of the request and its answer. */
const roundTripMs = 1;

/** Estimates the response time on an idle fleet: the longer of the longest task and all tasks spread over all slots, plus a round trip. */
function computeIdealMs({job}: JobRecord, slots: number): number {
	const total = job.runMs.reduce((sum, runMs) => sum + runMs, 0);
	return Math.max(...job.runMs, total / slots) + roundTripMs;
}

function addValue(histogram: Histogram, value: number): void {
	histogram.recordValue(Math.max(0, Math.round(value * unitsPerValue)));
}

function getPercentile(histogram: Histogram, percentile: number): number {
	return Math.round(histogram.getValueAtPercentile(percentile) / 10) / (unitsPerValue / 10);
}

function countReasons(records: readonly JobRecord[]): Record<string, number> {
	const reasons: Record<string, number> = {};
	for (const {outcome, reason} of records) {
		if (outcome !== 'complete') {
			const key = `${outcome} ${reason}`.trim();
			reasons[key] = (reasons[key] ?? 0) + 1;
		}
	}

	return reasons;
}

function createStreamReport(phase: Phase, stream: string, records: readonly JobRecord[], slots: number): StreamReport {
	const times = build({numberOfSignificantValueDigits: 3});
	const ratios = build({numberOfSignificantValueDigits: 3});
	const overheads = build({numberOfSignificantValueDigits: 3});
	const lags = build({numberOfSignificantValueDigits: 3});
	for (const {lagMs} of records) {
		addValue(lags, lagMs);
	}

	let tasks = 0;
	for (const record of records.filter(({outcome}) => outcome === 'complete')) {
		const ideal = computeIdealMs(record, slots);
		addValue(times, record.responseMs);
		addValue(ratios, record.responseMs / ideal);
		addValue(overheads, record.responseMs - ideal);
		tasks += record.job.runMs.length;
	}

	const seconds = (phase.durationMs - phase.warmupMs) / 1000;
	return {
		phase: phase.name,
		stream,
		jobs: records.length,
		tasksPerSecond: Math.round(tasks / seconds * 10) / 10,
		success: records.length === 0 ? 0 : Math.round(times.totalCount / records.length * 10_000) / 10_000,
		reasons: countReasons(records),
		p50: getPercentile(times, 50),
		p99: getPercentile(times, 99),
		p999: getPercentile(times, 99.9),
		ratio50: getPercentile(ratios, 50),
		ratio99: getPercentile(ratios, 99),
		overhead50: getPercentile(overheads, 50),
		lag99: getPercentile(lags, 99),
	};
}

/**
 * Computes the figures of every stream of a phase.
 *
 * @param phase - The phase.
 * @param records - Records of its jobs.
 * @param slots - Number of slots of the whole fleet.
 * @returns One report per customer and kind.
 */
export function createPhaseReport(phase: Phase, records: readonly JobRecord[], slots: number): StreamReport[] {
	const groups = new Map<string, JobRecord[]>();
	for (const record of records.filter(({job}) => job.at >= phase.warmupMs)) {
		const {customer, kind} = record.job.stream;
		const name = `${customer}/${kind}`;
		groups.set(name, [...groups.get(name) ?? [], record]);
	}

	return [...groups].sort(([left], [right]) => left.localeCompare(right)).map(([name, group]) => createStreamReport(phase, name, group, slots));
}

type Cell = string | number | Readonly<Record<string, number>>;

function formatCell(cell: Cell): string {
	return typeof cell === 'object' ? JSON.stringify(cell) : String(cell);
}

/**
 * Formats rows as a text table; cells that hold counts by name are shown as JSON.
 *
 * @param rows - Rows with the same keys.
 * @returns The text of the table.
 */
export function formatRows(rows: ReadonlyArray<Readonly<Record<string, Cell>>>): string {
	return formatTable(rows.map(row => Object.fromEntries(Object.entries(row).map(([key, cell]) => [key, formatCell(cell)]))));
}
