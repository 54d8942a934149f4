import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  decisionLog,
  seededRandom,
  silentLogger,
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
const FAULTY = 'r0';

/** Runs one stream over HTTP: the first attempt meets `faults`, the others none. */
async function runWithFaults(
  faults: readonly EngineFault[],
  onToken: (index: number, faulty: {set(f: EngineFault[]): void}) => void,
) {
  const clock = systemClock();
  const standins = await Promise.all(
    [faults, [], []].map(own =>
      startEngineStandin({
        port: 0,
        host: '127.0.0.1',
        service: 's',
        version: 'v1',
        costs: {stepMs: 4, decodeMsPerSequence: 0, prefillMsPerToken: 0},
        faults: own,
        random: seededRandom(1),
      }),
    ),
  );
  const engines = standins.map(({url}) => createHttpEngine({url}));
  const router = createRouter({
    clock,
    random: seededRandom(1),
    decisions: decisionLog(clock, silentLogger()),
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
  const endpoints: string[] = [];
  function pickEndpoint(excluded: ReadonlySet<string>): EndpointPick {
    // The first attempt has to meet the faults.
    const others = new Set(endpoints.length === 0 ? ['r1', 'r2'] : excluded);
    const choice = router.choose({
      service: 's',
      version: 'v1',
      blocks: [],
      promptTokens: 6,
      excluded: others,
    });
    assert.ok(choice);
    endpoints.push(choice.endpoint);
    const index = Number(choice.endpoint.slice(1));
    return {
      endpoint: choice.endpoint,
      url: standins[index]!.url,
      engine: engines[index]!,
      leaving: new AbortController().signal,
      finish: result => choice.finish(result),
    };
  }
  const texts: string[] = [];
  const faulty = {set: (f: EngineFault[]) => void standins[0]!.setFaults(f)};
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
        pickEndpoint: pickEndpoint,
        mayRetry: () => true,
        deliver(token) {
          texts.push(token.text);
          onToken(token.index, faulty);
        },
      },
      new AbortController().signal,
    );
    return {texts, summary, endpoints: endpoints};
  } finally {
    engines.forEach(engine => engine.dispose());
    await Promise.all(standins.map(standin => standin.stop()));
  }
}

describe('streams over HTTP', () => {
  const right = generateAnswerTokens(PROMPT, SEED, MAX_TOKENS);

  // An engine fails in one of the ways that are known of real ones. The caller
  // must see the right text, whole and once.
  // The numbers are the attempts that it may take: after a cut the router may
  // choose the same engine once more, since its cache has the tokens.
  const cases: [string, EngineFault[], number[]][] = [
    ['none', [], [1]],
    ['refuses connections', [{type: 'down'}], [2]],
    ['fails', [{type: 'fail'}], [2]],
    ['cuts the stream again and again', [{type: 'cut', amount: 5}], [2, 3]],
    ['sends another answer', [{type: 'cross', amount: 5}], [2]],
    ['sends a token twice', [{type: 'double', amount: 5}], [1]],
    ['leaves a token out', [{type: 'gap', amount: 5}], [2]],
    ['ends too early', [{type: 'truncate', amount: 5}], [2]],
    ['takes connections and is silent', [{type: 'pause'}], [2]],
  ];
  for (const [name, faults, attempts] of cases) {
    it(`shows the right text once when an engine ${name}`, async () => {
      const {
        texts,
        summary,
        endpoints: places,
      } = await runWithFaults(faults, () => {});
      assert.deepEqual(texts, right);
      assert.equal(places[0], FAULTY);
      assert.ok(attempts.includes(summary.attempts), `${summary.attempts}`);
    });
  }

  it('goes on elsewhere when the engine dies in the middle', async () => {
    const {texts, summary} = await runWithFaults([], (index, faulty) => {
      if (index === 6) {
        faulty.set([{type: 'down'}]);
      }
    });
    assert.deepEqual(texts, right);
    assert.equal(summary.attempts, 2);
  });

  it('goes on elsewhere when the engine hangs in the middle', async () => {
    const {texts, summary} = await runWithFaults([], (index, faulty) => {
      if (index === 6) {
        faulty.set([{type: 'pause'}]);
      }
    });
    assert.deepEqual(texts, right);
    assert.equal(summary.attempts, 2);
  });
});
