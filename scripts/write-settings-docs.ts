/**
 * Writes `docs/SETTINGS.md` from the schema of the settings file: `node --import tsx scripts/write-settings-docs.ts`.
 */
import {writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import * as z from 'zod';
import {settingsSchema} from '../src/settings/schema.ts';

/** Keywords of a JSON schema that the page shows. */
type JsonSchema = {
	readonly type?: string;
	readonly description?: string;
	readonly default?: unknown;
	readonly properties?: Readonly<Record<string, JsonSchema>>;
	readonly required?: readonly string[];
	readonly enum?: readonly unknown[];
	readonly anyOf?: readonly JsonSchema[];
	readonly items?: JsonSchema;
	readonly const?: unknown;
	readonly format?: string;
	readonly pattern?: string;
	readonly minimum?: number;
	readonly maximum?: number;
	readonly minLength?: number;
	readonly maxLength?: number;
	readonly maxItems?: number;
};

/** Path of the page in the repository. */
export const settingsPage = 'docs/SETTINGS.md';

const head = `# Settings

An entry and an agent read one JSON file each, given by \`--settings FILE\`. Only \`name\` is needed; every other key has a default.
An unknown key, a wrong type or a value out of range is an error, and the process does not start.
\`medlardale check FILE\` finds every fault of a file without starting anything.

This page is written from the schema by \`node --import tsx scripts/write-settings-docs.ts\`.
`;

const example = `
## Example

\`\`\`json
{
  "name": "entry-1",
  "dataCentre": "north",
  "host": "10.0.0.5",
  "peers": ["10.0.0.5:7100", "10.0.1.5:7100"],
  "storeUrl": "http://10.0.0.9:7200",
  "scheduling": {"urgencyWeights": {"critical": 16}}
}
\`\`\`
`;

function formatCode(text: string): string {
	return `\`${text.replaceAll('|', String.raw`\|`)}\``;
}

function formatType({type, items, anyOf}: JsonSchema): string {
	if (anyOf !== undefined) {
		return [...new Set(anyOf.map(option => formatType(option)))].join(' or ');
	}

	return items === undefined ? String(type) : `${type} of ${formatType(items)}`;
}

function formatRange(min: number | undefined, max: number | undefined, unit: string): string | undefined {
	if (min === undefined && max === undefined) {
		return undefined;
	}

	if (max === undefined || max === Number.MAX_SAFE_INTEGER) {
		return `at least ${min}${unit}`;
	}

	return min === undefined ? `at most ${max}${unit}` : `${min} to ${max}${unit}`;
}

function formatAllowed(schema: JsonSchema): string {
	const {anyOf, items, format, pattern} = schema;
	if (anyOf !== undefined) {
		return anyOf.map(option => formatAllowed(option)).join(' or ');
	}

	const parts = [
		schema.enum?.map(value => formatCode(String(value))).join(', '),
		schema.const === undefined ? undefined : formatCode(JSON.stringify(schema.const)),
		formatRange(schema.minimum, schema.maximum, ''),
		formatRange(schema.minLength, schema.maxLength, ' characters'),
		formatRange(undefined, schema.maxItems, ' members'),
		format === 'uri' ? 'URL' : undefined,
		pattern === undefined || format !== undefined ? undefined : formatCode(pattern),
		items === undefined ? undefined : `each ${formatAllowed(items)}`,
	];
	return parts.filter(part => part !== undefined && part !== '').join('; ');
}

function renderKey(name: string, schema: JsonSchema, isRequired: boolean): string {
	const defaultValue = schema.default === undefined ? (isRequired ? 'needed' : '') : formatCode(JSON.stringify(schema.default));
	const cells = [formatCode(name), formatType(schema), formatAllowed(schema), defaultValue, schema.description ?? ''];
	return `| ${cells.join(' | ')} |`;
}

/** Lists a table row for every key of an object, with those of nested objects under their full path. */
function listRows(schema: JsonSchema, prefix: string): string[] {
	return Object.entries(schema.properties ?? {}).flatMap(([key, value]) => {
		const name = `${prefix}${key}`;
		return value.properties === undefined
			? [renderKey(name, value, schema.default === undefined && value.default === undefined)]
			: listRows(value, `${name}.`);
	});
}

function renderSection(title: string, schema: JsonSchema, prefix: string): string {
	const lines = ['| key | type | allowed | default | meaning |', '| --- | --- | --- | --- | --- |', ...listRows(schema, prefix)];
	return `\n## ${title}\n\n${lines.join('\n')}\n`;
}

/**
 * Renders the page of all settings.
 *
 * @returns The page as Markdown.
 */
export function renderSettingsPage(): string {
	const schema = z.toJSONSchema(settingsSchema, {io: 'input'}) as JsonSchema;
	const entries = Object.entries(schema.properties ?? {});
	const topLevelKeys = Object.fromEntries(entries.filter(([, value]) => value.properties === undefined));
	const sections = entries.filter(([, value]) => value.properties !== undefined);
	return [
		head,
		example,
		renderSection('Process', {properties: topLevelKeys}, ''),
		...sections.map(([key, value]) => renderSection(key, value, `${key}.`)),
	].join('');
}

async function writePage(): Promise<void> {
	await writeFile(path.join(import.meta.dirname, '..', settingsPage), renderSettingsPage());
	process.stdout.write(`wrote ${settingsPage}\n`);
}

if (process.argv[1] === fileURLToPath(import.meta.url)) {
	void writePage();
}
