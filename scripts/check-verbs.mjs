/**
 * Checks that names of functions under `src` begin with a verb listed in docs/VERBS.md.
 *
 * It checks function declarations and exported constants that hold a function. It does not check
 * methods and properties, whose names a library may prescribe.
 */
import {readFileSync, readdirSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import ts from 'typescript';

const root = path.join(import.meta.dirname, '..');

/**
 * Parses the table of verbs.
 *
 * @param {string} page - Text of docs/VERBS.md.
 * @returns {Set<string>} The verbs.
 */
function parseVerbs(page) {
	const cells = page.split('\n').filter(line => line.startsWith('| `')).map(line => line.split('|')[1]);
	return new Set(cells.flatMap(cell => [...cell.matchAll(/`([a-z]+)`/g)].map(match => match[1])));
}

/** @returns {string} The first word of a name in camel case. */
function getVerb(name) {
	return /^[a-z]+/.exec(name)?.[0] ?? name;
}

function isExported(node) {
	return node.modifiers?.some(modifier => modifier.kind === ts.SyntaxKind.ExportKeyword) ?? false;
}

function isFunction(node) {
	return node !== undefined && (ts.isArrowFunction(node) || ts.isFunctionExpression(node));
}

/** @returns {ts.Identifier[]} Names of the functions that a node declares. */
function listFunctionNames(node) {
	if (ts.isFunctionDeclaration(node)) {
		return node.name === undefined ? [] : [node.name];
	}

	if (ts.isVariableStatement(node) && isExported(node)) {
		return node.declarationList.declarations.filter(({initializer}) => isFunction(initializer)).map(({name}) => name);
	}

	return [];
}

/** @returns {string[]} One message per function whose name does not begin with one of the verbs. */
function listViolations(file, verbs) {
	const source = ts.createSourceFile(file, readFileSync(file, 'utf8'), ts.ScriptTarget.ES2022, true);
	const violations = [];
	function visit(node) {
		for (const name of listFunctionNames(node)) {
			if (!verbs.has(getVerb(name.text))) {
				const {line} = source.getLineAndCharacterOfPosition(name.getStart());
				violations.push(`${path.relative(root, file)}:${line + 1}: "${name.text}" does not begin with a verb of docs/VERBS.md`);
			}
		}

		ts.forEachChild(node, visit);
	}

	visit(source);
	return violations;
}

const verbs = parseVerbs(readFileSync(path.join(root, 'docs/VERBS.md'), 'utf8'));
const files = readdirSync(path.join(root, 'src'), {recursive: true})
	.map(name => path.join(root, 'src', name))
	.filter(name => name.endsWith('.ts') && !name.endsWith('.d.ts'));
const violations = files.flatMap(file => listViolations(file, verbs));
for (const violation of violations) {
	process.stderr.write(`${violation}\n`);
}

process.exitCode = violations.length === 0 ? 0 : 1;
