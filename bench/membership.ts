/**
 * Measures the membership protocol in simulation: failure detection, false alarms, traffic, propagation of revisions, CPU time.
 *
 * Usage: node --import tsx bench/membership.ts --members 11,50,200 --seed 1 [--minutes 10] [--trials 20]
 * With --convergence it measures instead how long views take to converge: after the start of all members, after a member
 * leaves, and after a network partition.
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {runConvergence, type ConvergenceFigures} from './membership-convergence.ts';
import {computeSum, createBench, type Bench} from './membership-fleet.ts';

/** Figures of one fleet size; rates are per member and second, and bytes are those of sent datagrams with UDP and IP headers. */
type Figures = {
	members: number;
	idleBytesPerSecond: number;
	cpuMicrosPerSecond: number;
	firstDetectP50Ms: number;
	detectP50Ms: number;
	detectWorstMs: number;
	revisionKnownP50Ms: number;
	revisionKnownWorstMs: number;
	revisionAdoptedWorstMs: number;
	lossDeaths: number;
	lossSuspicions: number;
	lossBytesPerSecond: number;
	worstBytesPerSecond: number;
	longestDatagram: number;
};

const {values: args} = parseArgs({
	options: {
		members: {type: 'string', default: '11,50,200'},
		seed: {type: 'string', default: '1'},
		minutes: {type: 'string', default: '10'},
		trials: {type: 'string', default: '20'},
		loss: {type: 'string', default: '0.2'},
		convergence: {type: 'boolean', default: false},
	},
});

const seed = Number(args.seed);
const msPerSecond = 1000;
const idleMs = 60 * msPerSecond;
const limitMs = 120 * msPerSecond;
const settleMs = 15 * msPerSecond;
/** Delay that stands in for the fetch of a revision. */
const adoptionMs = 20;

function computePercentile(values: readonly number[], share: number): number {
	const sorted = [...values].sort((left, right) => left - right);
	return Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? Number.NaN);
}

function measureIdle(bench: Bench, members: number): Pick<Figures, 'idleBytesPerSecond' | 'cpuMicrosPerSecond'> {
	bench.bytesBySender.clear();
	const before = process.cpuUsage();
	bench.network.run(idleMs);
	const {user, system} = process.cpuUsage(before);
	const memberSeconds = members * idleMs / msPerSecond;
	return {
		idleBytesPerSecond: Math.round(computeSum(bench.bytesBySender.values()) / memberSeconds),
		cpuMicrosPerSecond: Math.round((user + system) / memberSeconds),
	};
}

/** Kills one member after another, and measures each time when each other member declares it dead. */
function measureDetection(bench: Bench, trials: number): Pick<Figures, 'firstDetectP50Ms' | 'detectP50Ms' | 'detectWorstMs'> {
	const {network} = bench;
	const first: number[] = [];
	const all: number[] = [];
	for (let trial = 0; trial < trials; trial++) {
		network.run(network.random.getInteger(msPerSecond));
		const victim = [...network.nodes.keys()][network.random.getInteger(network.nodes.size)];
		const diedAt = network.now;
		const times: number[] = [];
		bench.onChange = ({time, change}) => {
			if (change.member.status === 'dead' && change.member.address.name === victim) {
				times.push(time - diedAt);
			}
		};

		network.stopNode(victim);
		const elapsed = network.runUntil(() => times.length >= network.nodes.size - 1, limitMs);
		first.push(times[0] ?? Number.NaN);
		all.push(...times, ...(elapsed === undefined ? [Number.POSITIVE_INFINITY] : []));
		network.startNode(victim, [...network.nodes.keys()].slice(0, 3));
		network.run(settleMs);
	}

	return {
		firstDetectP50Ms: computePercentile(first, 0.5),
		detectP50Ms: computePercentile(all, 0.5),
		detectWorstMs: computePercentile(all, 1),
	};
}

/** Announces new revisions; a member that learns of one adopts it after a short delay, as if it had fetched it. */
function measureRevisions(bench: Bench, trials: number): Pick<Figures, 'revisionKnownP50Ms' | 'revisionKnownWorstMs' | 'revisionAdoptedWorstMs'> {
	const {network} = bench;
	const known: number[] = [];
	const adopted: number[] = [];
	bench.onChange = ({observer, change}) => {
		const {metadata} = change.member;
		const node = network.getNode(observer);
		if (metadata.configRevision > node.state.self.metadata.configRevision) {
			network.startTimer(adoptionMs, () => {
				network.applyEvent(node, {type: 'set-metadata', metadata});
			});
		}
	};

	for (let revision = 1; revision <= trials; revision++) {
		const nodes = network.listRunningNodes();
		const announcer = nodes[network.random.getInteger(nodes.length)];
		const start = network.now;
		network.applyEvent(announcer, {type: 'set-metadata', metadata: {configRevision: revision, configDigest: `digest-${revision}`}});
		const isKnown = () => nodes.every(node => node.state.highestRevision >= revision);
		const isAdopted = () => nodes.every(node => node.state.self.metadata.configRevision >= revision);
		known.push(network.runUntil(isKnown, limitMs, 10) ?? Number.POSITIVE_INFINITY);
		network.runUntil(isAdopted, limitMs, 10);
		adopted.push(network.now - start);
		network.run(settleMs);
	}

	return {
		revisionKnownP50Ms: computePercentile(known, 0.5),
		revisionKnownWorstMs: computePercentile(known, 1),
		revisionAdoptedWorstMs: computePercentile(adopted, 1),
	};
}

function measureLoss(bench: Bench, members: number, minutes: number): Pick<Figures, 'lossDeaths' | 'lossSuspicions' | 'lossBytesPerSecond' | 'worstBytesPerSecond'> {
	const {network} = bench;
	const counts = {
		alive: 0, suspect: 0, leaving: 0, dead: 0,
	};
	bench.onChange = ({change}) => {
		if (change.previous?.status !== change.member.status) {
			counts[change.member.status]++;
		}
	};

	bench.bytesBySender.clear();
	network.faults.loss = Number(args.loss);
	const seconds = minutes * 60;
	network.run(seconds * msPerSecond);
	network.faults.loss = 0;
	const sent = [...bench.bytesBySender.values()];
	return {
		lossDeaths: counts.dead,
		lossSuspicions: counts.suspect,
		lossBytesPerSecond: Math.round(computeSum(sent) / members / seconds),
		worstBytesPerSecond: Math.round(computePercentile(sent, 1) / seconds),
	};
}

function runBench(members: number): Figures {
	const trials = Number(args.trials);
	const bench = createBench(members, seed);
	return {
		members,
		...measureIdle(bench, members),
		...measureDetection(bench, trials),
		...measureRevisions(bench, trials),
		...measureLoss(bench, members, Number(args.minutes)),
		longestDatagram: bench.longest,
	};
}

const results: Array<Figures | ConvergenceFigures> = [];
for (const text of args.members.split(',')) {
	results.push(args.convergence ? runConvergence(Number(text), seed) : runBench(Number(text)));
}

console.table(results);
console.log(JSON.stringify({command: process.argv.slice(2).join(' '), seed, results}));
