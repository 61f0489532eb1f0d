/**
 * Steps for the next worker process at the same address.
 */
import {When} from '@cucumber/cucumber';
import {handleAnnouncement} from '../../src/core/runs/logic.ts';
import {handleOffers} from '../../src/core/runs/owners.ts';
import {createOffer, recordEffects, type RunsWorld} from './world.ts';

/** Processor need of a task, in thousandths of a core; the worker has room for one. */
const cpu = 6000;

function tellLabels(world: RunsWorld, target: string, labels: string, sequence: number): void {
	const {announcement, bornAt} = world.state.worker;
	recordEffects(world, handleAnnouncement(world.state, {
		...announcement!, bornAt, target, labels: labels.split(' '), sequence,
	}, world.now));
}

When('entry {string} offers a {word} task {string} that requires the label {string}', function (this: RunsWorld, owner: string, kind: string, task: string, label: string) {
	recordEffects(this, handleOffers(this.state, owner, [{...createOffer(task, cpu, kind === 'tentative'), label}], this.now));
});

When('the new worker process tells the target {string} and the labels {string}', function (this: RunsWorld, target: string, labels: string) {
	tellLabels(this, target, labels, 1);
});

When('the worker tells the target {string} and the labels {string}', function (this: RunsWorld, target: string, labels: string) {
	tellLabels(this, target, labels, this.state.worker.announcement!.sequence + 1);
});
