import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  createDecisionLog,
  seededRandom,
  createSilentLogger,
  systemClock,
} from '@skylarkfield/base';
import {createHttpEngine} from '@skylarkfield/endpoints';
import {createRouter} from '@skylarkfield/routing';
import {
  generateAnswerTokens,
  startEngineStandin,
  type EngineFault,
} from '@skylarkfield/standins';
import {createStreamRunner, type EndpointPick} from '@skylarkfield/streams';

const PROMPT = 'which oak stain matches this floor';
const SEED = 12;
const MAX_TOKENS = 30;
const FAULTY_ENDPOINT = 'r0';

/** Runs one stream over HTTP; its first attempt uses the engine with faults. */
async function runWithFaults(
  faults: readonly EngineFault[],
  onToken: (index: number, faultyEngine: {set(f: EngineFault[]): void}) => void,
  onChoice: (
    count: number,
    allEngines: {set(f: EngineFault[]): void},
  ) => void = () => {},
) {
  const clock = systemClock();
  const standins = await Promise.all(
    [faults, [], []].map(engineFaults =>
      startEngineStandin({
        port: 0,
        host: '127.0.0.1',
        service: 's',
        version: 'v1',
        costs: {stepMs: 4, decodeMsPerSequence: 0, prefillMsPerToken: 0},
        faults: engineFaults,
        random: seededRandom(1),
      }),
    ),
  );
  const engines = standins.map(({url}) => createHttpEngine({url}));
  const router = createRouter({
    clock,
    random: seededRandom(1),
    decisions: createDecisionLog(clock, createSilentLogger()),
    failureDomain: 'a',
    self: 'e1',
  });
  router.setEndpoints(
    standins.map((_, index) => ({
      id: `r${index}`,
      service: 's',
      version: 'v1',
      failureDomain: 'a',
      host: `h${index}`,
      type: 'model',
    })),
  );
  const chosenEndpoints: string[] = [];
  const allEngines = {
    set: (f: EngineFault[]) =>
      standins.forEach(standin => void standin.setFaults(f)),
  };
  function chooseEndpoint(excluded: ReadonlySet<string>): EndpointPick {
    // The first attempt has to use the engine with faults.
    const excludedEndpoints = new Set(
      chosenEndpoints.length === 0 ? ['r1', 'r2'] : excluded,
    );
    const choice = router.choose({
      service: 's',
      version: 'v1',
      blocks: [],
      promptTokens: 6,
      excluded: excludedEndpoints,
    });
    assert.ok(choice);
    chosenEndpoints.push(choice.endpoint);
    onChoice(chosenEndpoints.length, allEngines);
    const index = Number(choice.endpoint.slice(1));
    return {
      endpoint: choice.endpoint,
      url: standins[index]!.url,
      engine: engines[index]!,
      leavingSignal: new AbortController().signal,
      finish: result => choice.finish(result),
    };
  }
  const deliveredTexts: string[] = [];
  const faultyEngine = {
    set: (f: EngineFault[]) => void standins[0]!.setFaults(f),
  };
  try {
    const summary = await createStreamRunner({clock, entryId: 'e1'}).run(
      {
        id: 'q',
        prompt: PROMPT,
        maxTokens: MAX_TOKENS,
        urgency: 3,
        seed: SEED,
        firstTokenDeadline: clock.now() + 10_000,
        deadline: clock.now() + 20_000,
      },
      {
        pickEndpoint: chooseEndpoint,
        mayRetry: () => true,
        deliver(token) {
          deliveredTexts.push(token.text);
          onToken(token.index, faultyEngine);
        },
      },
      new AbortController().signal,
    );
    return {texts: deliveredTexts, summary, endpoints: chosenEndpoints};
  } finally {
    engines.forEach(engine => engine.dispose());
    await Promise.all(standins.map(standin => standin.stop()));
  }
}

describe('streams over HTTP', () => {
  const expected = generateAnswerTokens(PROMPT, SEED, MAX_TOKENS);

  // An engine fails in one of the ways seen with real engines. The caller must
  // get the complete text exactly once. The numbers are the allowed numbers of
  // attempts: after a cut the router may choose the same engine again, since
  // its cache contains the tokens.
  const cases: [string, EngineFault[], number[]][] = [
    ['has no fault', [], [1]],
    ['refuses connections', [{type: 'down'}], [2]],
    ['fails every request', [{type: 'fail'}], [2]],
    ['cuts the stream repeatedly', [{type: 'cut', amount: 5}], [2, 3]],
    ['sends another answer', [{type: 'cross', amount: 5}], [2]],
    ['sends a token twice', [{type: 'double', amount: 5}], [1]],
    ['omits a token', [{type: 'gap', amount: 5}], [2]],
    ['ends too early', [{type: 'truncate', amount: 5}], [2]],
    ['accepts connections and does not respond', [{type: 'pause'}], [2]],
  ];
  for (const [name, faults, attempts] of cases) {
    it(`delivers the complete text once when an engine ${name}`, async () => {
      const {texts, summary, endpoints} = await runWithFaults(faults, () => {});
      assert.deepEqual(texts, expected);
      assert.equal(endpoints[0], FAULTY_ENDPOINT);
      assert.ok(attempts.includes(summary.attempts), `${summary.attempts}`);
    });
  }

  it('continues on another engine when the engine goes down mid-stream', async () => {
    const {texts, summary} = await runWithFaults([], (index, faultyEngine) => {
      if (index === 6) {
        faultyEngine.set([{type: 'down'}]);
      }
    });
    assert.deepEqual(texts, expected);
    assert.equal(summary.attempts, 2);
  });

  it('continues on another engine when the engine hangs mid-stream', async () => {
    const {texts, summary} = await runWithFaults([], (index, faultyEngine) => {
      if (index === 6) {
        faultyEngine.set([{type: 'pause'}]);
      }
    });
    assert.deepEqual(texts, expected);
    assert.equal(summary.attempts, 2);
  });

  // All engines pause at once. The stream was given up for another silent
  // engine, which computed the prompt again.
  it('continues on the same engine when all engines pause and go on', async () => {
    let isPaused = false;
    const {texts, summary, endpoints} = await runWithFaults(
      [],
      (index, faultyEngine) => {
        if (index === 6) {
          faultyEngine.set([{type: 'pause'}]);
          isPaused = true;
        }
      },
      (count, allEngines) => {
        // The first choice after the pause shows that the stream has stalled.
        if (isPaused) {
          allEngines.set(count < 4 ? [{type: 'pause'}] : []);
        }
      },
    );
    assert.deepEqual(texts, expected);
    assert.equal(summary.attempts, 1);
    assert.ok(endpoints.length >= 4);
  });
});
