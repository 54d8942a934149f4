/** A client that reads its answers as HTTP/1.1 tells. */
import http from 'node:http';

/**
 * Sends one request. Resolves to its end: `status` (undefined without a head),
 * `headers`, `body`, and `isComplete`: whether the answer ended as HTTP marks
 * its end.
 *
 * Node.js may tell the reset of a connection as its end if both arrive with data.
 * Only the missing remote address shows that then, so that an answer whose end is
 * that of its connection is complete only if the address is known.
 */
export function send(
  address,
  {
    method = 'GET',
    path,
    headers,
    body,
    agent = false,
    onData = () => {},
    onRequest = () => {},
    timeoutMs = 12_000,
  },
) {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    let status;
    let answerHeaders;
    let text = '';
    let isDone = false;
    let wasReset = false;
    let stopChecking = () => {};
    function finish(isComplete, error) {
      if (!isDone) {
        isDone = true;
        clearTimeout(timer);
        stopChecking();
        resolve({
          status,
          headers: answerHeaders,
          body: text,
          isComplete,
          error,
        });
      }
    }
    const request = http.request(
      {host, port, method, path, headers, agent},
      response => {
        status = response.statusCode;
        answerHeaders = response.headers;
        response.setEncoding('latin1');
        response.on('data', chunk => {
          text += chunk;
          onData(text);
        });
        const isEndedByClose =
          answerHeaders['content-length'] === undefined &&
          answerHeaders['transfer-encoding'] === undefined;
        response.on('end', () =>
          finish(response.complete && !(isEndedByClose && wasReset)),
        );
        response.on('error', error => finish(false, error.code));
        response.on('close', () => finish(false, 'closed'));
      },
    );
    const timer = setTimeout(() => {
      finish(false, 'timeout');
      request.destroy();
    }, timeoutMs);
    request.on('error', error => finish(false, error.code));
    request.once('socket', socket => {
      const check = () => (wasReset = socket.remoteAddress === undefined);
      socket.prependListener('end', check);
      stopChecking = () => socket.off('end', check);
    });
    onRequest(request);
    request.end(body);
  });
}
