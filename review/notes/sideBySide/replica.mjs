/**
 * A model replica in a process of its own, which can be stopped and continued.
 * Reports its address and each run to the process that started it.
 */
import {setInterval} from 'node:timers';
import {sealOf, startReplica} from '../../lib/replica.mjs';

const EVENTS = 8;
const SLOTS = 48;
const TICK_MS = 10;
/** Work until the first event and between events; none is done while stopped. */
const FIRST_EVENT_TICKS = 95;
const EVENT_TICKS = 4;

const [id] = process.argv.slice(2);
const runs = new Set();

function report(run, type) {
  process.send({type, replica: id, attemptId: run.attemptId, at: Date.now()});
}

function end(run) {
  if (runs.delete(run)) {
    report(run, 'ended');
  }
}

function work(run) {
  run.ticksLeft -= 1;
  if (run.ticksLeft > 0) {
    return;
  }
  if (run.lastEvent === EVENTS) {
    end(run);
    run.response.end();
    return;
  }
  run.lastEvent += 1;
  run.ticksLeft = EVENT_TICKS;
  run.response.write(
    `id: ${run.lastEvent}\ndata: piece ${run.lastEvent} for ${run.attemptId}\n\n`,
  );
}

setInterval(() => [...runs].forEach(work), TICK_MS);

const replica = await startReplica({
  id,
  service: 'pool',
  zone: 'zone-a',
  slots: SLOTS,
  answer(request, response, {attemptId}) {
    const run = {
      attemptId,
      response,
      lastEvent: Number(request.headers['last-event-id'] ?? 0),
      ticksLeft: FIRST_EVENT_TICKS,
    };
    runs.add(run);
    report(run, 'began');
    response.setHeader('X-Reply-Seal', sealOf(id, attemptId));
    response.setHeader('X-Replica-Load', `${runs.size},0,${SLOTS}`);
    response.setHeader('Content-Type', 'text/event-stream');
    // A replica drops a request when its connection closes.
    response.on('close', () => end(run));
  },
});
process.on('disconnect', () => process.exit());
process.send({type: 'started', registration: replica.registration});
