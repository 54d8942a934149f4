/** Extracts the structure of all serialized data with the TypeScript compiler. */
import {readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import ts from 'typescript';

/** Root of the repository, relative to the compiled test. */
const ROOT = fileURLToPath(new URL('../../../../', import.meta.url));

/** Types of stored objects and responses that no message body refers to. */
const NAMED_TYPES: Readonly<Record<string, readonly string[]>> = {
  'packages/protocol/src/hello.ts': ['Hello'],
  'packages/protocol/src/messages/orderMessages.ts': [
    'ForwardAnswer',
    'ClaimOutcome',
  ],
  'packages/protocol/src/messages/memberMessages.ts': [
    'MemberProbeResponse',
    'LastSeenResponse',
    'MembersResponse',
  ],
  'packages/protocol/src/messages/gatewayMessages.ts': ['MirrorSnapshot'],
  'packages/protocol/src/messages/recordMessages.ts': ['RecordDifference'],
  'packages/protocol/src/messages/moveMessages.ts': ['MoveState'],
  'packages/orders/src/shardRecord.ts': ['ShardRecord', 'LedgerEntry'],
  'packages/duties/src/lease.ts': ['Lease'],
  'packages/members/src/memberObjects.ts': ['MemberObject'],
  'packages/base/src/decisionLog.ts': ['Decision'],
};

/** Depth beyond which a recursive type is not expanded. */
const MAX_DEPTH = 12;

export interface OutsideShapes {
  /** Structure of the body by message type. */
  readonly messages: Readonly<Record<string, string>>;
  /** Structures of stored objects and responses, sorted. */
  readonly types: readonly string[];
  /** Output types of setting, record and stored object schemas, sorted. */
  readonly schemas: readonly string[];
}

function sourceFiles(folder: string): string[] {
  return readdirSync(folder, {withFileTypes: true}).flatMap(item => {
    const path = join(folder, item.name);
    if (item.isDirectory()) {
      return item.name === 'test' ? [] : sourceFiles(path);
    }
    return item.name.endsWith('.ts') ? [path] : [];
  });
}

function allSources(): string[] {
  const packages = readdirSync(join(ROOT, 'packages')).map(name =>
    join(ROOT, 'packages', name, 'src'),
  );
  return [...packages, join(ROOT, 'platform', 'src')].flatMap(sourceFiles);
}

/** Creates a program that resolves packages to their sources. */
function createProgram(files: readonly string[]): ts.Program {
  const paths = Object.fromEntries(
    readdirSync(join(ROOT, 'packages')).map(name => [
      `@skylarkfield/${name}`,
      [join(ROOT, 'packages', name, 'src', 'index.ts')],
    ]),
  );
  const base = ts.parseConfigFileTextToJson(
    'tsconfig.base.json',
    readFileSync(join(ROOT, 'tsconfig.base.json'), 'utf8'),
  ).config as {compilerOptions: object};
  const {options} = ts.convertCompilerOptionsFromJson(
    base.compilerOptions,
    ROOT,
  );
  return ts.createProgram(files, {
    ...options,
    incremental: false,
    strict: true,
    noEmit: true,
    baseUrl: ROOT,
    paths,
  });
}

/**
 * Returns the structure of all serialized data: names of fields and string
 * values, independent of type names.
 *
 * @example
 * const {messages} = readOutsideShapes();
 */
export function readOutsideShapes(): OutsideShapes {
  const files = allSources();
  const program = createProgram(files);
  const checker = program.getTypeChecker();
  const fileOf = (path: string) => program.getSourceFile(join(ROOT, path))!;

  function print(type: ts.Type, depth = 0): string {
    if (depth > MAX_DEPTH) {
      return '…';
    }
    if (type.isUnion()) {
      const parts = type.types.map(part => print(part, depth + 1));
      return [...new Set(parts)].sort().join(' | ');
    }
    if (checker.isArrayType(type) || checker.isTupleType(type)) {
      const items = checker.getTypeArguments(type as ts.TypeReference);
      return `[${items.map(item => print(item, depth + 1)).join(', ')}]`;
    }
    const isObject = (type.flags & ts.TypeFlags.Object) !== 0;
    if (!isObject && !type.isIntersection()) {
      return checker.typeToString(type);
    }
    const symbol = type.getSymbol();
    const isLibrary = symbol?.declarations?.some(declaration =>
      program.isSourceFileDefaultLibrary(declaration.getSourceFile()),
    );
    if (isLibrary && symbol !== undefined && symbol.name !== '__type') {
      return symbol.name;
    }
    return printObject(type, depth);
  }

  function printObject(type: ts.Type, depth: number): string {
    const fields = type.getProperties().map(property => {
      const optional = property.flags & ts.SymbolFlags.Optional ? '?' : '';
      const value = checker.getTypeOfSymbol(property);
      return `${property.name}${optional}: ${print(value, depth + 1)}`;
    });
    const index = type.getStringIndexType();
    const rest = index === undefined ? [] : [`[]: ${print(index, depth + 1)}`];
    return `{${[...fields, ...rest].sort().join('; ')}}`;
  }

  function declaredType(path: string, name: string): ts.Type {
    const found = checker
      .getExportsOfModule(checker.getSymbolAtLocation(fileOf(path))!)
      .find(symbol => symbol.name === name);
    if (found === undefined) {
      throw new Error(`${path} exports no type ${name}`);
    }
    return checker.getDeclaredTypeOfSymbol(found);
  }

  /** Returns the output types of the schemas that a file declares. */
  function schemasOf(path: string): string[] {
    const source = program.getSourceFile(path)!;
    return source.statements
      .filter(statement => ts.isVariableStatement(statement))
      .flatMap(({declarationList}) => [...declarationList.declarations])
      .map(({name}) => checker.getTypeAtLocation(name))
      .map(type => type.getProperty('_output'))
      .filter(output => output !== undefined)
      .map(output => print(checker.getTypeOfSymbol(output)));
  }

  const bodies = declaredType('packages/protocol/src/contracts.ts', 'Messages');
  return {
    messages: Object.fromEntries(
      bodies
        .getProperties()
        .map(message => [message.name, print(checker.getTypeOfSymbol(message))])
        .sort(),
    ),
    types: Object.entries(NAMED_TYPES)
      .flatMap(([path, names]) =>
        names.map(name => print(declaredType(path, name))),
      )
      .sort(),
    schemas: files.flatMap(schemasOf).sort(),
  };
}
