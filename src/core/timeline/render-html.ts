/**
 * Renders a report as one self-contained HTML page: a lane per process, bars for tasks, markers for other events.
 */
import type {EventType, TimelineEvent, TimelineReport} from './types.ts';
import {getStampTime} from './hlc.ts';
import {describeEvent, describeGaps} from './render-text.ts';
import {listSpans, type TaskSpan} from './spans.ts';

const rowHeightPx = 14;
const markerHeightPx = 18;
const tickCount = 10;

const markerColors: Partial<Record<EventType, string>> = {
	refusal: '#c62828',
	cancellation: '#ef6c00',
	retry: '#f9a825',
	answer: '#2e7d32',
	leaving: '#6a1b9a',
	membership: '#6a1b9a',
};

const style = `body{font:14px system-ui,sans-serif;margin:24px;color:#222}
.lane{display:flex;border-top:1px solid #ddd}.name{width:140px;padding:4px;overflow-wrap:anywhere}
.track{position:relative;flex:1;background:#fafafa}.bar,.mark,.tick{position:absolute}
.bar{height:${rowHeightPx - 3}px;background:#64b5f6;border-radius:2px;min-width:2px}.bar.failed{background:#e57373}.bar.open{background:#bdbdbd}
.mark{width:9px;height:9px;border-radius:50%;margin-left:-4px;top:4px}.tick{font-size:11px;color:#666;border-left:1px solid #ccc;padding-left:2px}
#details{min-height:40px;padding:8px;background:#f0f4f8;margin:12px 0}.gap{color:#c62828}
table{border-collapse:collapse;font-size:12px;margin-top:16px}td,th{text-align:left;padding:2px 10px 2px 0}`;

const script = `document.addEventListener('mouseover',event=>{const text=event.target.dataset&&event.target.dataset.text;
if(text)document.getElementById('details').textContent=text});`;

const entities: Record<string, string> = {
	'&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;', '\'': '&#39;',
};

function formatText(text: string): string {
	return text.replaceAll(/[&<>"']/g, character => entities[character]);
}

type Scale = {readonly start: number; readonly length: number};

function formatPercent(scale: Scale, time: number): string {
	return `${((time - scale.start) * 100 / scale.length).toFixed(3)}%`;
}

function renderBar(scale: Scale, span: TaskSpan): string {
	const {start, end, startTime, endTime, row} = span;
	const state = end === undefined ? 'open' : (end.reason === undefined || end.reason === 'done' ? 'done' : 'failed');
	const text = `${describeEvent(start)}; ${(endTime - startTime).toFixed(1)} ms, ${end === undefined ? 'no end recorded' : describeEvent(end)}`;
	const width = ((endTime - startTime) * 100 / scale.length).toFixed(3);
	const position = `left:${formatPercent(scale, startTime)};width:${width}%;top:${markerHeightPx + (row * rowHeightPx)}px`;
	return `<div class="bar ${state}" style="${position}" title="${formatText(text)}" data-text="${formatText(text)}"></div>`;
}

function renderMarker(scale: Scale, event: TimelineEvent): string {
	const text = formatText(`${event.type}: ${describeEvent(event)}`);
	const position = `left:${formatPercent(scale, getStampTime(event.stamp))};background:${markerColors[event.type] ?? '#455a64'}`;
	return `<div class="mark" style="${position}" title="${text}" data-text="${text}"></div>`;
}

function renderLane(scale: Scale, node: string, events: readonly TimelineEvent[], spans: readonly TaskSpan[]): string {
	const rows = Math.max(0, ...spans.map(span => span.row + 1));
	const markers = events.filter(event => event.type !== 'start' && event.type !== 'end');
	const content = [
		...spans.map(span => renderBar(scale, span)),
		...markers.map(event => renderMarker(scale, event)),
	];
	const height = markerHeightPx + (rows * rowHeightPx);
	return `<div class="lane"><div class="name">${formatText(node)}</div><div class="track" style="height:${height}px">${content.join('')}</div></div>`;
}

function renderTicks(scale: Scale): string {
	const ticks = Array.from({length: tickCount}, (_, index) => {
		const offset = scale.length * index / tickCount;
		return `<div class="tick" style="left:${index * 100 / tickCount}%">${offset.toFixed(1)} ms</div>`;
	});
	return `<div class="lane"><div class="name"></div><div class="track" style="height:18px">${ticks.join('')}</div></div>`;
}

function renderRow(scale: Scale, event: TimelineEvent): string {
	const cells = [(getStampTime(event.stamp) - scale.start).toFixed(3), event.node, event.type, describeEvent(event)];
	return `<tr>${cells.map(cell => `<td>${formatText(cell)}</td>`).join('')}</tr>`;
}

/**
 * Renders a report as an HTML page.
 *
 * @param report - The report.
 * @returns The page, without references to other files.
 */
export function renderHtml(report: TimelineReport): string {
	const {events} = report;
	const start = getStampTime(events[0]?.stamp ?? 0);
	const scale = {start, length: Math.max(1, getStampTime(events.at(-1)?.stamp ?? 0) - start)};
	const spans = listSpans(report);
	const nodes = [...new Set(events.map(event => event.node))].sort();
	const lanes = nodes.map(node => renderLane(
		scale,
		node,
		events.filter(event => event.node === node),
		spans.filter(span => span.start.node === node),
	));
	return `<!doctype html><html lang="en"><head><meta charset="utf-8"><title>Timeline</title><style>${style}</style></head><body>
<h1>Timeline</h1><p>${events.length} events from ${new Date(start).toISOString()}</p>
${describeGaps(report).map(line => `<p class="gap">${formatText(line)}</p>`).join('')}
${renderTicks(scale)}${lanes.join('\n')}<div id="details">Hover over a bar or a marker for its details.</div>
<table><tr><th>ms</th><th>process</th><th>event</th><th>details</th></tr>${events.map(event => renderRow(scale, event)).join('\n')}</table>
<script>${script}</script></body></html>
`;
}
