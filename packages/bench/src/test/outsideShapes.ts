/** Extracts the structure of all serialized data with the TypeScript compiler. */
import {readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import ts from 'typescript';

/** Root of the repository, relative to the compiled test. */
const REPOSITORY_ROOT = fileURLToPath(new URL('../../../../', import.meta.url));

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
  // Values in `MirrorSnapshot`, whose own type is unknown.
  'packages/traffic/src/contracts.ts': [
    'TrafficPolicy',
    'RegisteredEndpoint',
    'Rollout',
  ],
  'packages/routing/src/crashes/crashEvidence.ts': ['CrashReport'],
  'packages/protocol/src/messages/recordMessages.ts': ['RecordDifference'],
  'packages/protocol/src/messages/moveMessages.ts': ['MoveState'],
  'packages/orders/src/shardRecord.ts': ['ShardRecord', 'LedgerEntry'],
  'packages/duties/src/lease.ts': ['Lease'],
  'packages/members/src/memberObject.ts': ['MemberObject'],
  'packages/base/src/decisionLog.ts': ['Decision'],
};

/** Depth beyond which a recursive type is not expanded. */
const MAX_DEPTH = 12;

export interface OutsideShapes {
  /** Structure of the message body, by message type. */
  readonly messages: Readonly<Record<string, string>>;
  /** Structures of stored objects and responses, sorted. */
  readonly types: readonly string[];
  /** Output types of schemas of settings, records and stored objects. */
  readonly schemas: readonly string[];
}

function listSourceFiles(folder: string): string[] {
  return readdirSync(folder, {withFileTypes: true}).flatMap(item => {
    const path = join(folder, item.name);
    if (item.isDirectory()) {
      return item.name === 'test' ? [] : listSourceFiles(path);
    }
    return item.name.endsWith('.ts') ? [path] : [];
  });
}

function listAllSourceFiles(): string[] {
  const packages = readdirSync(join(REPOSITORY_ROOT, 'packages')).map(name =>
    join(REPOSITORY_ROOT, 'packages', name, 'src'),
  );
  return [...packages, join(REPOSITORY_ROOT, 'platform', 'src')].flatMap(
    listSourceFiles,
  );
}

/** Creates a program that resolves packages to their sources. */
function createProgram(files: readonly string[]): ts.Program {
  const paths = Object.fromEntries(
    readdirSync(join(REPOSITORY_ROOT, 'packages')).map(name => [
      `@skylarkfield/${name}`,
      [join(REPOSITORY_ROOT, 'packages', name, 'src', 'index.ts')],
    ]),
  );
  const baseConfig = ts.parseConfigFileTextToJson(
    'tsconfig.base.json',
    readFileSync(join(REPOSITORY_ROOT, 'tsconfig.base.json'), 'utf8'),
  ).config as {compilerOptions: object};
  const {options} = ts.convertCompilerOptionsFromJson(
    baseConfig.compilerOptions,
    REPOSITORY_ROOT,
  );
  return ts.createProgram(files, {
    ...options,
    incremental: false,
    strict: true,
    noEmit: true,
    baseUrl: REPOSITORY_ROOT,
    paths,
  });
}

/**
 * Extracts the structure of all serialized data: names of fields and string
 * values, independent of type names.
 *
 * @example
 * const {messages} = extractOutsideShapes();
 */
export function extractOutsideShapes(): OutsideShapes {
  const files = listAllSourceFiles();
  const program = createProgram(files);
  const checker = program.getTypeChecker();
  const sourceFileAt = (path: string) =>
    program.getSourceFile(join(REPOSITORY_ROOT, path))!;

  function printType(type: ts.Type, depth = 0): string {
    if (depth > MAX_DEPTH) {
      return '…';
    }
    if (type.isUnion()) {
      const parts = type.types.map(part => printType(part, depth + 1));
      return [...new Set(parts)].sort().join(' | ');
    }
    if (checker.isArrayType(type) || checker.isTupleType(type)) {
      const items = checker.getTypeArguments(type as ts.TypeReference);
      return `[${items.map(item => printType(item, depth + 1)).join(', ')}]`;
    }
    const isObject = (type.flags & ts.TypeFlags.Object) !== 0;
    if (!isObject && !type.isIntersection()) {
      return checker.typeToString(type);
    }
    const symbol = type.getSymbol();
    const isLibraryType = symbol?.declarations?.some(declaration =>
      program.isSourceFileDefaultLibrary(declaration.getSourceFile()),
    );
    if (isLibraryType && symbol !== undefined && symbol.name !== '__type') {
      return symbol.name;
    }
    return printObject(type, depth);
  }

  function printObject(type: ts.Type, depth: number): string {
    const fields = type.getProperties().map(property => {
      const optionalMark = property.flags & ts.SymbolFlags.Optional ? '?' : '';
      const value = checker.getTypeOfSymbol(property);
      return `${property.name}${optionalMark}: ${printType(value, depth + 1)}`;
    });
    const indexType = type.getStringIndexType();
    const indexFields =
      indexType === undefined ? [] : [`[]: ${printType(indexType, depth + 1)}`];
    return `{${[...fields, ...indexFields].sort().join('; ')}}`;
  }

  function findExportedType(path: string, name: string): ts.Type {
    const exportedSymbol = checker
      .getExportsOfModule(checker.getSymbolAtLocation(sourceFileAt(path))!)
      .find(symbol => symbol.name === name);
    if (exportedSymbol === undefined) {
      throw new Error(`${path} exports no type ${name}`);
    }
    return checker.getDeclaredTypeOfSymbol(exportedSymbol);
  }

  /** Returns the output types of the schemas that a file declares. */
  function printSchemaTypes(path: string): string[] {
    const source = program.getSourceFile(path)!;
    return source.statements
      .filter(statement => ts.isVariableStatement(statement))
      .flatMap(({declarationList}) => [...declarationList.declarations])
      .map(({name}) => checker.getTypeAtLocation(name))
      .map(type => type.getProperty('_output'))
      .filter(output => output !== undefined)
      .map(output => printType(checker.getTypeOfSymbol(output)));
  }

  const messagesType = findExportedType(
    'packages/protocol/src/contracts.ts',
    'Messages',
  );
  return {
    messages: Object.fromEntries(
      messagesType
        .getProperties()
        .map(message => [
          message.name,
          printType(checker.getTypeOfSymbol(message)),
        ])
        .sort(),
    ),
    types: Object.entries(NAMED_TYPES)
      .flatMap(([path, names]) =>
        names.map(name => printType(findExportedType(path, name))),
      )
      .sort(),
    schemas: files.flatMap(printSchemaTypes).sort(),
  };
}
