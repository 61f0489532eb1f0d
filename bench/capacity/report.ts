/**
 * Renders the measured figures and fitted lines as tables.
 */
import type {DocumentFigures} from './documents.ts';
import {computeLine, type LineFit} from './fit.ts';
import type {IdleFigures} from './idle.ts';
import {jobRoles, type LoadFigures} from './load.ts';
import type {RecordFigures} from './records.ts';
import type {SelectionFigures} from './selection.ts';
import type {StreamFigures} from './streams.ts';
import type {ViewFigures} from './view.ts';

/** Figures of all parts of the measurement; a part that did not run is absent. */
export type Figures = {
	readonly records?: RecordFigures;
	readonly documents?: DocumentFigures;
	readonly demand?: Readonly<Record<string, LineFit>>;
	readonly selection?: SelectionFigures;
	readonly view?: readonly ViewFigures[];
	readonly load?: LoadFigures;
	readonly streams?: StreamFigures;
	readonly idle?: readonly IdleFigures[];
};

function formatNumber(value: number): string {
	return String(Number(value.toPrecision(4)));
}

function renderTable(header: readonly string[], rows: ReadonlyArray<ReadonlyArray<string | number>>): string {
	const lines = rows.map(row => `| ${row.map(cell => typeof cell === 'number' ? formatNumber(cell) : cell).join(' | ')} |`);
	return [`| ${header.join(' | ')} |`, `|${' --- |'.repeat(header.length)}`, ...lines].join('\n');
}

function renderFits(fits: Readonly<Record<string, LineFit>>): string {
	const rows = Object.entries(fits).map(([name, {intercept, slope, worstResidual, points}]) => [
		name, intercept, slope, `${(100 * worstResidual).toFixed(0)}%`, points.map(({x, y}) => `${x}: ${formatNumber(y)}`).join(', '),
	]);
	return renderTable(['figure', 'constant', 'slope', 'worst residual', 'points'], rows);
}

function renderRecords({accountedShare, ...fits}: RecordFigures): string {
	return `${renderFits(fits)}\naccounted by the home at 1 and 760 tasks: ${accountedShare.map(share => formatNumber(share)).join(', ')}`;
}

function renderDocuments({worstBytes, changes, ...fits}: DocumentFigures): string {
	return `${renderFits(fits)}\ngreatest document over ${changes} changes by 100 customers: ${worstBytes} bytes`;
}

function renderView(view: readonly ViewFigures[]): string {
	const fit = (get: (figures: ViewFigures) => number) => computeLine(view.map(figures => ({x: figures.members, y: get(figures)})));
	return renderFits({
		'gossip, bytes/s': fit(({bytes}) => bytes),
		'gossip, CPU µs/s': fit(({cpuMicros}) => cpuMicros),
		'state of one member, bytes': fit(({stateBytes}) => stateBytes),
	});
}

function renderLoad({runs, cpuMs, bytes, messages, residentMb}: LoadFigures): string {
	const rows = runs.map(run => [
		run.tasks,
		run.concurrency,
		`${run.complete} of ${run.jobs}`,
		run.jobsPerSecond,
		...[run.cpuMs, run.bytes, run.messages].flatMap(values => jobRoles.map(role => values[role])),
	]);
	const header = ['tasks', 'in flight', 'complete', 'jobs/s', ...['CPU ms', 'bytes', 'messages'].flatMap(unit => jobRoles.map(role => `${role} ${unit}`))];
	const groups = Object.entries({'CPU ms': cpuMs, bytes, messages});
	const fits = Object.fromEntries(groups.flatMap(([unit, group]) => jobRoles.map(role => [`${role}, ${unit} per job`, group[role]])));
	return `${renderTable(header, rows)}\n\n${renderFits(fits)}\nresident MB: ${jobRoles.map(role => `${role} ${formatNumber(residentMb[role])}`).join(', ')}`;
}

function renderStreams({members, peerCount, samples}: StreamFigures): string {
	const rows = samples.map(({redraws, streams, writesPerSecond}) => [redraws, streams, writesPerSecond]);
	return `${members} members, peerCount ${peerCount}\n\n${renderTable(['redraws', 'streams', 'writes/s'], rows)}`;
}

function renderIdle(idle: readonly IdleFigures[]): string {
	const costs = ['cpuPercent', 'anonymousMb', 'fileMb', 'residentMb', 'streamBytes', 'gossipBytes', 'messages'] as const;
	const rest = ['storeCalls', 'changeMs', 'statusMs', 'statusBytes'] as const;
	const header = ['members', 'role', ...costs, ...rest];
	const rows = idle.flatMap(figures => (['agent', 'entry'] as const).map(role => [
		figures.members, role, ...costs.map(key => figures[role][key]), ...rest.map(key => figures[key]),
	]));
	const fit = (get: (figures: IdleFigures) => number) => computeLine(idle.map(figures => ({x: figures.members, y: get(figures)})));
	const fits = idle.length < 2
		? ''
		: renderFits({
			'agent, CPU %': fit(({agent}) => agent.cpuPercent),
			'agent, anonymous MB': fit(({agent}) => agent.anonymousMb),
			'agent, stream bytes/s': fit(({agent}) => agent.streamBytes),
			'entry, CPU %': fit(({entry}) => entry.cpuPercent),
			'store, calls/s': fit(({storeCalls}) => storeCalls),
			'status, ms': fit(({statusMs}) => statusMs),
			'status, bytes': fit(({statusBytes}) => statusBytes),
		});
	return `${renderTable(header, rows)}\n\n${fits}`;
}

const renderers: {readonly [Name in keyof Figures]-?: (figures: NonNullable<Figures[Name]>) => string} = {
	records: renderRecords,
	documents: renderDocuments,
	demand: renderFits,
	selection: renderFits,
	view: renderView,
	load: renderLoad,
	streams: renderStreams,
	idle: renderIdle,
};

/**
 * Renders the figures.
 *
 * @param figures - The figures of each part that ran.
 * @returns Markdown.
 */
export function renderFigures(figures: Figures): string {
	const names = Object.keys(figures) as Array<keyof Figures>;
	return names.map(name => `## ${name}\n\n${(renderers[name] as (value: unknown) => string)(figures[name])}\n`).join('\n');
}
