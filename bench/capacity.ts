/**
 * Measures on this machine how cost grows with load and fleet size, as used in docs/CAPACITY.md, and prints the fitted lines.
 *
 * Run by `npm run capacity -- --seed 1 [--only records,documents,demand,selection,view,load,streams,idle] [--sizes 11,25,50] [--out FILE]`;
 * the built binary must exist. Prints tables, and writes JSON to FILE.
 */
import {writeFile} from 'node:fs/promises';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {measureDemand} from './capacity/demand.ts';
import {measureDocuments} from './capacity/documents.ts';
import {measureIdle} from './capacity/idle.ts';
import {measureLoad} from './capacity/load.ts';
import {measureRecords} from './capacity/records.ts';
import {renderFigures, type Figures} from './capacity/report.ts';
import {measureSelection} from './capacity/selection.ts';
import {measureStreams} from './capacity/streams.ts';
import {measureView} from './capacity/view.ts';

const {values} = parseArgs({
	options: {
		seed: {type: 'string', default: '1'},
		only: {type: 'string', default: 'records,documents,demand,selection,view,load,streams,idle'},
		sizes: {type: 'string', default: '11,25,50,100,200'},
		out: {type: 'string', default: ''},
	},
});

const seed = Number(values.seed);
/** Largest fleet whose agents all run as separate processes; in larger ones all but four run inside this process. */
const maxProcesses = 50;
const entries = 2;
const viewSizes = [11, 25, 50, 100, 200];

async function measureIdleSizes(): Promise<Figures['idle']> {
	const results: Array<Awaited<ReturnType<typeof measureIdle>>> = [];
	for (const members of values.sizes.split(',').map(Number)) {
		const agents = members <= maxProcesses ? members - entries : 4;
		const inProcess = members - entries - agents;
		results.push(await measureIdle({
			entries, agents, inProcess, seed,
		}, {settleMs: inProcess > 0 ? 20_000 : 12_000, windowMs: 10_000}));
	}

	return results;
}

const parts: {readonly [Name in keyof Figures]-?: () => Figures[Name] | Promise<Figures[Name]>} = {
	records: measureRecords,
	documents: measureDocuments,
	demand: () => ({'demand summary, bytes': measureDemand()}),
	selection: () => measureSelection(seed),
	view() {
		// A first run as warm-up; its result is dropped.
		measureView(viewSizes[0], seed);
		return viewSizes.map(members => measureView(members, seed));
	},
	load: async () => measureLoad(seed),
	streams: async () => measureStreams(seed),
	idle: measureIdleSizes,
};

const figures: Record<string, unknown> = {};
for (const name of values.only.split(',') as Array<keyof Figures>) {
	const startedAt = performance.now();
	figures[name] = await parts[name]();
	process.stderr.write(`${name}: ${((performance.now() - startedAt) / 1000).toFixed(0)} s\n`);
}

process.stdout.write(`${renderFigures(figures)}\n`);
if (values.out !== '') {
	await writeFile(values.out, `${JSON.stringify({seed, figures}, undefined, '\t')}\n`);
}

// Exits without stopping the agents inside this process.
process.exit(0);
