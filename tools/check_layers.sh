#!/usr/bin/env bash
# Checks the layers of src: the files of a folder may include headers only from the folders that `allowed` lists for it.
set -euo pipefail
cd "$(dirname "$0")/../src"

declare -A allowed=(
  [base]="base"
  [wire]="wire base"
  [model]="model wire base"
  [catalog]="catalog model wire base"
  [membership]="membership catalog model wire base"
  [routing]="routing catalog model wire base"
  [admission]="admission routing catalog model wire base"
  [idempotency]="idempotency catalog model wire base"
  [execution]="execution admission idempotency routing membership catalog model wire base"
  [serving]="serving model wire base"
  [flow]="flow base"
  [fleet_view]="fleet_view serving model wire base"
  [self_reports]="self_reports fleet_view serving model wire base"
  [rate_limits]="rate_limits self_reports fleet_view serving model wire base"
  [replicas]="replicas rate_limits self_reports fleet_view serving model wire base"
  [engines]="engines replicas rate_limits self_reports fleet_view serving model wire base"
  [stage_work]="stage_work replicas rate_limits self_reports fleet_view serving model wire base"
  [quarantine]="quarantine fleet_view rate_limits self_reports replicas serving model wire base"
  [streams]="streams fleet_view serving model wire base"
  [dispatch]="dispatch streams quarantine stage_work engines replicas rate_limits self_reports fleet_view flow serving catalog model wire base"
  [node]="node dispatch quarantine fleet_view serving execution admission idempotency routing membership catalog model wire base"
  [simulation]="simulation node serving execution admission idempotency routing membership catalog model wire base"
  [settings]="settings node serving execution admission routing membership catalog model wire base"
  [logging]="logging base"
  [http]="http flow serving settings node execution model base"
  [publication]="publication http node execution model wire base"
  [backends]="backends http execution model base"
  [upstream]="upstream http flow serving model base"
  [peers]="peers settings wire base"
  [daemon]="*"
  [ctl]="*"
)

bad=0
for folder in */; do
  folder=${folder%/}
  rules=${allowed[$folder]:-}
  if [ -z "$rules" ]; then
    echo "folder src/$folder has no layering rule"
    bad=1
    continue
  fi
  [ "$rules" = "*" ] && continue
  while IFS=: read -r file line text; do
    target=$(echo "$text" | sed -E 's/.*#include "([a-z_]+)\/.*/\1/')
    case " $rules " in
      *" $target "*) ;;
      *) echo "src/$file:$line: $folder may not include from $target"; bad=1 ;;
    esac
  done < <(grep -nE '^#include "[a-z_]+/' "$folder"/*.h "$folder"/*.cc 2>/dev/null | grep -v '\.pb\.')
done
# The folders of the decision logic (listed below) may not include headers for I/O or threads.
if grep -nE '#include <(boost/asio|boost/beast|zmq|sys/socket|fstream|iostream|thread)' \
  base/*.h base/*.cc model/*.h model/*.cc catalog/* membership/* routing/* admission/* \
  idempotency/* execution/* serving/* flow/* fleet_view/* self_reports/* rate_limits/* replicas/* engines/* stage_work/* quarantine/* streams/* dispatch/* node/* simulation/* 2>/dev/null; then
  echo "decision logic may not do I/O"
  bad=1
fi
# Names of the users' platform may appear in platform/ and deploy/, but not in src, tools or standins.
if git grep -nE -f "$PWD/../platform/reserved_names.txt" -- . ../tools ../standins; then
  echo "names of the platform outside platform/"
  bad=1
fi
exit $bad
