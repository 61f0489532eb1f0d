/**
 * Steps of the start records feature.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
	acceptTask, clearResult, dropJob, endTask, refuseTask, startTask,
} from '../../src/core/execution/logic.ts';
import {createExecutionRecords, pruneRecords, type ExecutionRecords} from '../../src/core/execution/state.ts';
import type {Acceptance} from '../../src/core/execution/types.ts';
import type {TaskResult, TaskStart} from '../../src/ports/messages.ts';

type RecordsWorld = {
	records: ExecutionRecords;
	answer: Acceptance;
};

const mintedAt = 1000;
const maxTasks = 5;
const home = {name: 'agent-1', incarnation: 1};
const arrivalTimes: Record<string, number> = {'in time': 1500, 'after the window': 2001};
const task: TaskStart = {
	job: 'job', index: 3, attempt: 1, customer: 'customer', kind: 'kind', deadline: 500, mintedAt, body: new Uint8Array(),
};
const result: TaskResult = {
	job: 'job', index: 3, attempt: 1, status: 'done', body: new Uint8Array(), runTime: 5, waitTime: 0,
};

function queueTask(records: ExecutionRecords): void {
	acceptTask(records, home, task, arrivalTimes['in time']);
}

function queueAndStartTask(records: ExecutionRecords): void {
	queueTask(records);
	startTask(records, task);
}

function runTask(records: ExecutionRecords): void {
	queueAndStartTask(records);
	endTask(records, result);
}

function queueAndRefuseTask(records: ExecutionRecords): void {
	queueTask(records);
	refuseTask(records, task, 'queue-full');
}

const histories: Record<string, (records: ExecutionRecords) => void> = {
	'nothing before'() {
		// The records stay empty.
	},
	'the task was queued': queueTask,
	'the task was started': queueAndStartTask,
	'the task ended': runTask,
	'the task ended and its home has the result'(records) {
		runTask(records);
		clearResult(records, result);
	},
	'the task was refused': queueAndRefuseTask,
	'the job was dropped'(records) {
		dropJob(records, task.job, mintedAt);
	},
	'the task was refused and the job was dropped'(records) {
		queueAndRefuseTask(records);
		dropJob(records, task.job, mintedAt);
	},
	'the task ended and the records were pruned'(records) {
		runTask(records);
		pruneRecords(records, arrivalTimes['after the window']);
		assert.equal(records.taskCount, 0);
	},
	'the records are full'(records) {
		for (let index = 10; index < 10 + maxTasks; index++) {
			acceptTask(records, home, {...task, index}, arrivalTimes['in time']);
		}
	},
};

Given('start records with a window of {int} ms', function (this: RecordsWorld, windowMs: number) {
	this.records = createExecutionRecords({windowMs, maxTasks});
});

Given(new RegExp(`^(${Object.keys(histories).join('|')})$`), function (this: RecordsWorld, history: string) {
	histories[history](this.records);
});

When('the records are pruned after the window', function (this: RecordsWorld) {
	pruneRecords(this.records, arrivalTimes['after the window']);
});

When('attempt {int} of the task arrives {}', function (this: RecordsWorld, attempt: number, when: string) {
	this.answer = acceptTask(this.records, home, {...task, attempt}, arrivalTimes[when]);
});

Then('the agent answers {string}', function (this: RecordsWorld, expected: string) {
	const {answer} = this;
	const actual = answer.type === 'reply' ? [answer.result.status, answer.result.reason].filter(Boolean).join(' ') : answer.type;
	assert.equal(actual, expected);
});

Then('starting it again violates an invariant', function (this: RecordsWorld) {
	assert.throws(() => {
		startTask(this.records, task);
	}, {name: 'ExecutionInvariantError', message: 'task 3 of job job cannot start: it is not queued'});
});
