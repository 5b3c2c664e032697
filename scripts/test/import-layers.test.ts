/**
 * Guards the direction of imports. A layer of the scheduler imports no higher layer. A package imports only
 * the public entry of another package. There are no import cycles at run time; type-only imports are erased
 * and do not count.
 */
import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { describe, it } from 'node:test';
import { fileURLToPath } from 'node:url';
import ts from 'typescript';

const packages = fileURLToPath(new URL('../../packages/', import.meta.url));

/**
 * The scheduler's layers, lowest first. Modules outside all layers (main, settings) may import any layer, and
 * any layer may import them.
 */
const LAYERS = ['transport', 'protocol', 'storage', 'coordination'];

interface ModuleImport {
  /** Both paths are relative to packages/. */
  readonly from: string;
  readonly to: string;
  readonly typeOnly: boolean;
}

/** Whether an import declaration is erased when the module is compiled. */
function isTypeOnly(declaration: ts.ImportDeclaration): boolean {
  const clause = declaration.importClause;
  if (!clause) return false;
  if (clause.phaseModifier === ts.SyntaxKind.TypeKeyword) return true;
  const named = clause.namedBindings;
  if (clause.name || !named || !ts.isNamedImports(named)) return false;
  return named.elements.every((element) => element.isTypeOnly);
}

function parseImports(module: string): ModuleImport[] {
  const text = readFileSync(path.join(packages, module), 'utf8');
  const source = ts.createSourceFile(module, text, ts.ScriptTarget.Latest);
  return source.statements.flatMap((statement) => {
    if (!ts.isImportDeclaration(statement) || !ts.isStringLiteral(statement.moduleSpecifier)) return [];
    const specifier = statement.moduleSpecifier.text;
    const to = specifier.startsWith('.') ? path.join(path.dirname(module), specifier) : specifier;
    return [{ from: module, to, typeOnly: isTypeOnly(statement) }];
  });
}

const modules = readdirSync(packages, { recursive: true, encoding: 'utf8' }).filter(
  (name) => /^[\w-]+\/src\/.*\.ts$/.test(name) && !name.includes('node_modules'),
);
const imports = modules.flatMap(parseImports);

/** Index in `LAYERS` of the layer of a scheduler module; -1 if the module is outside all layers. */
const layerOf = (module: string): number => LAYERS.indexOf(module.split('/')[2] ?? '');

/** The modules of an import cycle that starts and ends at `start`, or null if there is none. */
function findCycle(start: string): string[] | null {
  const visited = new Set<string>();
  const search = (module: string, trail: string[]): string[] | null => {
    for (const { to } of imports.filter((each) => each.from === module && !each.typeOnly)) {
      if (to === start) return [...trail, to];
      if (visited.has(to)) continue;
      visited.add(to);
      const found = search(to, [...trail, to]);
      if (found) return found;
    }
    return null;
  };
  return search(start, [start]);
}

describe('imports', () => {
  it('of the scheduler point to the same layer or a lower one', () => {
    const upwards = imports.filter(
      ({ from, to }) => from.startsWith('scheduler/') && layerOf(from) >= 0 && layerOf(to) > layerOf(from),
    );
    assert.deepEqual(upwards, []);
  });

  it('of another package use its public entry, not its modules', () => {
    const crossPackageImports = imports.filter(
      ({ from, to }) => !to.startsWith('@') && to.split('/')[0] !== from.split('/')[0],
    );
    assert.deepEqual(
      crossPackageImports.filter(({ to }) => to.includes('/src/')),
      [],
    );
  });

  it('form no cycle at run time', () => {
    const cycles = modules.flatMap((module) => findCycle(module) ?? []);
    assert.deepEqual(cycles, []);
  });
});
