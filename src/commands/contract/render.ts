/**
 * Formats contracts, changes and outcomes as text for operators.
 */
import type {Contract, ContractChange, ContractDocument} from '../../core/contracts/types.ts';
import type {ChangeOutcome} from './write.ts';
import type {RolloutReport} from './wait.ts';

/** Values of a contract as JSON text, by JSON path. */
type ValuesByPath = ReadonlyMap<string, string>;

function listValues(value: unknown, path: string): Array<[string, string]> {
	if (typeof value === 'object' && value !== null && !Array.isArray(value)) {
		return Object.entries(value).flatMap(([key, member]) => listValues(member, `${path}.${key}`));
	}

	return [[path, JSON.stringify(value)]];
}

function getValuesByPath(contract: Contract | undefined): ValuesByPath {
	return new Map(contract === undefined ? [] : listValues(contract, '$'));
}

/**
 * Lists the values in which two contracts differ.
 *
 * @param before - The earlier contract; undefined if there was none.
 * @param after - The later contract; undefined if it was removed.
 * @returns One line per JSON path.
 */
export function listDifferences(before: Contract | undefined, after: Contract | undefined): string[] {
	const [left, right] = [getValuesByPath(before), getValuesByPath(after)];
	const paths = [...new Set([...left.keys(), ...right.keys()])];
	return paths
		.filter(path => left.get(path) !== right.get(path))
		.map(path => `${path}: ${left.get(path) ?? 'absent'} -> ${right.get(path) ?? 'absent'}`);
}

const actionWords: Record<ContractChange['action'], string> = {
	apply: 'applied', remove: 'removed', restore: 'restored',
};

/**
 * Describes a change in one line.
 *
 * @param change - The change.
 * @returns Revision, time, operator, action and customer.
 */
export function describeChange(change: ContractChange): string {
	const {revision, changedAt, operator, action, customer} = change;
	return `revision ${revision}  ${new Date(changedAt).toISOString()}  ${operator}  ${actionWords[action]} ${customer}`;
}

const outcomeLines: {readonly [Type in ChangeOutcome['type']]:
	(outcome: Extract<ChangeOutcome, {type: Type}>, customer: string) => string[]} = {
	accepted: ({change}, customer) => [`contract of "${customer}" is accepted as revision ${change.revision} (change ${change.changeId})`],
	overtaken: ({change, before}, customer) => [
		`contract of "${customer}" was not written: operator "${change.operator}" ${actionWords[change.action]} it at revision ${change.revision}`,
		...listDifferences(before, change.contract).map(line => `  ${line}`),
		`check it with "contract show ${customer}", then try again with --base-revision ${change.revision}`,
	],
	refused: ({error}, customer) => [`contract of "${customer}" was refused, nothing was written:`, error.message],
	unavailable: ({message}, customer) => [`contract of "${customer}" was not written: ${message}`],
	unknown: ({message}, customer) => [
		`it is not known whether the change of "${customer}" took effect: ${message}`,
		`check with "contract history ${customer}" before trying again`,
	],
};

/**
 * Describes how writing a change ended.
 *
 * @param outcome - The outcome.
 * @param customer - The customer.
 * @returns Lines of text.
 */
export function describeOutcome(outcome: ChangeOutcome, customer: string): string[] {
	const describe = outcomeLines[outcome.type] as (outcome: ChangeOutcome, customer: string) => string[];
	return describe(outcome, customer);
}

/**
 * Describes on which processes a revision is in force.
 *
 * @param report - The report.
 * @returns Lines of text.
 */
export function describeRollout({revision, inForce, behind, silent}: RolloutReport): string[] {
	const total = inForce.length + behind.length + silent.length;
	return [
		`revision ${revision} is in force on ${inForce.length} of ${total} processes`,
		...(behind.length > 0 ? [`at an older revision: ${behind.map(({name, revision: at}) => `${name} (${at})`).join(', ')}`] : []),
		...(silent.length > 0 ? [`no answer: ${silent.join(', ')}`] : []),
	];
}

/**
 * Formats the contracts of a document as a table.
 *
 * @param document - The document.
 * @returns A header line, then one line per customer.
 */
export function formatContracts(document: ContractDocument): string[] {
	const rows = Object.values(document.contracts).map(({customer, weight, rate, kinds}) =>
		[customer, String(weight), String(rate), Object.keys(kinds).join(',')]);
	const table = [['CUSTOMER', 'WEIGHT', 'RATE', 'KINDS'], ...rows];
	const widths = [0, 1, 2].map(column => Math.max(...table.map(row => row[column].length)));
	return table.map(row => row.map((cell, column) => column < widths.length ? cell.padEnd(widths[column]) : cell).join('  '));
}
