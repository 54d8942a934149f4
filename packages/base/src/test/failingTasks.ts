/** Process with a timer and a promise that fail. */
import {containFailures} from '../containment.js';
import {createLogger} from '../logger.js';

const clock = containFailures(createLogger('error'));
void Promise.reject(new Error('odd promise'));
clock.after(1, () => {
  throw new Error('odd timer');
});
setTimeout(() => console.log('still running'), 10);
