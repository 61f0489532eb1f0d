/**
 * Measures how the demand summaries that entries exchange grow with the number of active customers.
 */
import {Packr} from 'msgpackr';
import {admitJob} from '../../src/core/admission/logic.ts';
import {computeSummary} from '../../src/core/admission/shares.ts';
import {createAdmission} from '../../src/core/admission/state.ts';
import {parseSettings} from '../../src/settings/load.ts';
import {createRigCustomer} from '../rig/rig.ts';
import {computeRelativeLine, type LineFit} from './fit.ts';

const customerCounts = [1, 10, 25, 50, 100];
const packr = new Packr({useRecords: false});

function encodeSummary(customers: number): Uint8Array {
	const {admission, limits} = parseSettings({name: 'entry-1', dataCentre: 'dc-1', port: 0}).unwrap();
	const state = createAdmission({...admission, maxDeadlineMs: limits.maxDeadlineMs}, 'entry-1');
	for (let index = 0; index < customers; index++) {
		const {contract} = createRigCustomer(`team-${index}`, {booking: {urgency: 'normal', deadlineMs: 5000}});
		admitJob(state, contract, {
			kind: 'booking', tasks: 10, bytes: 640, deadline: 5000, isRetry: false,
		}, 1000 + index).unwrap();
	}

	return packr.pack([1, [{type: 'demand', summary: computeSummary(state, 1200)}]]);
}

/**
 * Measures the size of one frame with a summary.
 *
 * @returns Its size in bytes as a function of the number of active customers, fitted from 1 to 100.
 */
export function measureDemand(): LineFit {
	return computeRelativeLine(customerCounts.map(customers => ({x: customers, y: encodeSummary(customers).length})));
}
