/**
 * The calls of operators as a tRPC router.
 */
import {initTRPC} from '@trpc/server';
import * as z from 'zod';
import type {ControlService} from '../../ports/control.ts';

/** Greatest number of events in one answer. */
const maxEvents = 100_000;

const selectionSchema = z.strictObject({
	job: z.string().max(256).optional(),
	customer: z.string().max(63).optional(),
	since: z.number().optional(),
	limit: z.int().min(1).max(maxEvents).default(maxEvents),
});

const {router, procedure} = initTRPC.context<ControlService>().create();

/** The calls that every process answers. */
export const controlRouter = router({
	getStatus: procedure.query(({ctx}) => ctx.getStatus()),
	getDocument: procedure.query(({ctx}) => ctx.getDocument()),
	listEvents: procedure.input(selectionSchema).query(({ctx, input: {job, customer, since, limit}}) => ctx.listEvents({
		limit, ...(job !== undefined && {job}), ...(customer !== undefined && {customer}), ...(since !== undefined && {since}),
	})),
});

/** Type of the router; the types of the client derive from it. */
export type ControlRouter = typeof controlRouter;
