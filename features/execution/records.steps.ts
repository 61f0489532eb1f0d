/**
 * Steps of the feature about start records.
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
const times: Record<string, number> = {'in time': 1500, 'after the window': 2001};
const task: TaskStart = {
	job: 'job', index: 3, attempt: 1, customer: 'customer', kind: 'kind', deadline: 500, mintedAt, body: new Uint8Array(),
};
const result: TaskResult = {
	job: 'job', index: 3, attempt: 1, status: 'done', body: new Uint8Array(), runTime: 5, waitTime: 0,
};

function queueTask(records: ExecutionRecords): void {
	acceptTask(records, home, task, times['in time']);
}

function beginTask(records: ExecutionRecords): void {
	queueTask(records);
	startTask(records, task);
}

function finishTask(records: ExecutionRecords): void {
	beginTask(records);
	endTask(records, result);
}

function rejectTask(records: ExecutionRecords): void {
	queueTask(records);
	refuseTask(records, task, 'queue-full');
}

const histories: Record<string, (records: ExecutionRecords) => void> = {
	'nothing before'() {
		// The records stay empty.
	},
	'the task was queued': queueTask,
	'the task was started': beginTask,
	'the task ended': finishTask,
	'the task ended and its home has the result'(records) {
		finishTask(records);
		clearResult(records, result);
	},
	'the task was refused': rejectTask,
	'the job was dropped'(records) {
		dropJob(records, task.job, mintedAt);
	},
	'the task was refused and the job was dropped'(records) {
		rejectTask(records);
		dropJob(records, task.job, mintedAt);
	},
	'the task ended and the records were pruned'(records) {
		finishTask(records);
		pruneRecords(records, times['after the window']);
		assert.equal(records.taskCount, 0);
	},
	'the records are full'(records) {
		for (let index = 10; index < 10 + maxTasks; index++) {
			acceptTask(records, home, {...task, index}, times['in time']);
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
	pruneRecords(this.records, times['after the window']);
});

When('attempt {int} of the task arrives {}', function (this: RecordsWorld, attempt: number, when: string) {
	this.answer = acceptTask(this.records, home, {...task, attempt}, times[when]);
});

Then('the agent says {string}', function (this: RecordsWorld, expected: string) {
	const {answer} = this;
	const said = answer.type === 'reply' ? [answer.result.status, answer.result.reason].filter(Boolean).join(' ') : answer.type;
	assert.equal(said, expected);
});

Then('starting it again is an error of the program', function (this: RecordsWorld) {
	assert.throws(() => {
		startTask(this.records, task);
	}, /may not start/);
});
