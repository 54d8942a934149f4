/** Measures the processor time of routing decisions by number of replicas. */
import {
  createDecisionLog,
  seededRandom,
  createSilentLogger,
  systemClock,
} from '@skylarkfield/base';
import {hashPromptBlocks} from '@skylarkfield/endpoints';
import {createRouter, type Candidate} from '@skylarkfield/routing';

export interface DecisionTime {
  readonly replicas: number;
  /** Replicas assigned to the entry. */
  readonly held: number;
  /** Mean processor time of one routing decision. */
  readonly microseconds: number;
}

const REPLICA_COUNTS = [8, 48, 480, 4800];
const ENTRY_COUNT = 1700;
const DECISION_COUNT = 3000;
const PROMPT_TOKENS = 2000;

function createCandidates(replicas: number): Candidate[] {
  return Array.from({length: replicas}, (_, index) => ({
    id: `replica-${index}`,
    service: 's',
    version: 'v1',
    failureDomain: `d${index % 10}`,
    host: `h${index}`,
    type: 'model',
  }));
}

/**
 * Times decisions with prompts of 2000 tokens and 1,700 entries.
 *
 * @example
 * measureDecisionTime()[0]?.microseconds;
 */
export function measureDecisionTime(): DecisionTime[] {
  const tokens = Array.from({length: PROMPT_TOKENS}, (_, index) => `w${index}`);
  const blocks = hashPromptBlocks(tokens);
  const entries = Array.from({length: ENTRY_COUNT}, (_, index) => `e${index}`);
  return REPLICA_COUNTS.map(replicas => {
    const clock = systemClock();
    const router = createRouter({
      clock,
      random: seededRandom(1),
      decisions: createDecisionLog(clock, createSilentLogger()),
      failureDomain: 'd1',
      self: 'e1',
    });
    router.setEntries(entries);
    router.setEndpoints(createCandidates(replicas));
    const routingRequest = {
      service: 's',
      version: 'v1',
      blocks,
      promptTokens: PROMPT_TOKENS,
      excluded: new Set<string>(),
    };
    const cpuBefore = process.cpuUsage();
    for (let index = 0; index < DECISION_COUNT; index++) {
      const choice = router.choose(routingRequest);
      const cachedTokens = choice?.cachedTokens ?? 0;
      choice?.finish({outcome: 'ok', latencyMs: 50, cachedTokens});
    }
    const {user, system} = process.cpuUsage(cpuBefore);
    return {
      replicas,
      held: router.assignedEndpoints().length,
      microseconds: Number(((user + system) / DECISION_COUNT).toFixed(1)),
    };
  });
}
