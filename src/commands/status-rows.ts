/**
 * Aggregates the status of all processes into rows per process, data centre and customer.
 */
import type {Gathered} from '../adapters/control/client.ts';
import type {ContractDocument} from '../core/contracts/types.ts';
import type {ProcessStatus} from '../ports/control.ts';
import type {TableRow} from './table-text.ts';

/** Status of a fleet. */
export type FleetStatus = {
	readonly processes: readonly TableRow[];
	readonly dataCentres: readonly TableRow[];
	readonly customers: readonly TableRow[];
	/** Processes that did not answer. */
	readonly missing: readonly string[];
};

type Answer = Gathered<ProcessStatus>;

const msPerSecond = 1000;

function getMemberStatus(answers: readonly Answer[], name: string): string {
	const reported = answers.flatMap(({value}) => value?.members.filter(({address}) => address.name === name).map(({status}) => status) ?? []);
	return reported.find(status => status !== 'alive') ?? 'alive';
}

function describeState(answers: readonly Answer[], {address, value}: Answer): string {
	if (value === undefined) {
		return 'no answer';
	}

	if (value.isLeaving || value.load?.leaving === true) {
		return 'leaving';
	}

	const ejectors = answers.filter(answer => answer.value?.ejected.some(({name}) => name === address.name)).length;
	if (ejectors > 0) {
		return `ejected by ${ejectors}`;
	}

	return value.load?.slots === 0 ? 'no target' : getMemberStatus(answers, address.name);
}

function createProcessRow(answers: readonly Answer[], answer: Answer): TableRow {
	const {address, value} = answer;
	const {load, home} = value ?? {};
	return {
		process: address.name,
		role: address.role,
		'data centre': address.dataCentre,
		state: describeState(answers, answer),
		'up s': value === undefined ? '-' : Math.round(value.uptime / msPerSecond),
		slots: load === undefined ? '-' : `${load.slots - load.freeSlots}/${load.slots}`,
		queued: load?.queued ?? '-',
		'open jobs': home?.openJobs ?? '-',
		revision: value?.configRevision ?? '-',
	};
}

function createDataCentreRow(dataCentre: string, answers: readonly Answer[]): TableRow {
	const loads = answers.flatMap(({value}) => value?.load ?? []);
	const slots = loads.reduce((sum, load) => sum + load.slots, 0);
	const free = loads.reduce((sum, load) => sum + load.freeSlots, 0);
	return {
		'data centre': dataCentre,
		processes: answers.length,
		answering: answers.filter(({value}) => value !== undefined).length,
		slots: `${slots - free}/${slots}`,
		queued: loads.reduce((sum, load) => sum + load.queued, 0),
	};
}

function addTotals(sum: Map<string, number>, totals: Readonly<Record<string, number>>): void {
	for (const [key, value] of Object.entries(totals)) {
		sum.set(key, (sum.get(key) ?? 0) + value);
	}
}

function createCustomerRow(customer: string, answers: readonly Answer[], document: ContractDocument | undefined): TableRow {
	const reports = answers.flatMap(({value}) => value?.customers ?? []).filter(report => report.customer === customer);
	const ended = reports.reduce((sum, report) => sum + report.ended, 0);
	const complete = reports.reduce((sum, report) => sum + report.complete, 0);
	const totals = new Map<string, number>();
	for (const report of reports) {
		addTotals(totals, report.totals);
	}

	const promised = document?.contracts[customer]?.successRate;
	const rate = ended === 0 ? undefined : complete / ended;
	return {
		customer,
		'jobs 5 min': ended,
		'success rate': rate === undefined ? '-' : rate.toFixed(4),
		promised: promised ?? '-',
		held: rate === undefined || promised === undefined ? '-' : (rate >= promised ? 'yes' : 'NO'),
		'not complete': [...totals].filter(([key]) => key !== 'complete').map(([key, count]) => `${key}: ${count}`).join(', ') || '-',
	};
}

/**
 * Creates the status of a fleet.
 *
 * @param answers - One answer per process.
 * @param document - Contracts in force; undefined if no process returned them.
 * @returns Rows for tables.
 */
export function createFleetStatus(answers: readonly Answer[], document: ContractDocument | undefined): FleetStatus {
	const dataCentres = [...new Set(answers.map(({address}) => address.dataCentre))].sort();
	const customers = new Set([
		...Object.keys(document?.contracts ?? {}),
		...answers.flatMap(({value}) => value?.customers?.map(({customer}) => customer) ?? []),
	]);
	return {
		processes: answers.map(answer => createProcessRow(answers, answer)),
		dataCentres: dataCentres.map(name => createDataCentreRow(name, answers.filter(({address}) => address.dataCentre === name))),
		customers: [...customers].sort().map(customer => createCustomerRow(customer, answers, document)),
		missing: answers.filter(({value}) => value === undefined).map(({address}) => address.name),
	};
}
