package host

import (
	"log/slog"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/health"
	"monsoonferry.org/ferry/route"
)

// applyEjections applies the ejections in force to the picker and publishes them.
func (l *detectionLoop) applyEjections(now ferry.Moment) {
	if l.inventory == nil {
		return
	}
	active := l.table.Active(now)
	l.activeEjections.Store(&active)
	stages := map[ferry.TargetID]health.Stage{}
	for _, ejection := range active {
		stages[ejection.Target] = ejection.Stage
		l.picker.SetStatus(ejection.Target, routeStatus(ejection))
		if old, ok := l.stages[ejection.Target]; !ok || old != ejection.Stage {
			l.enterStage(ejection)
		}
	}
	for target := range l.stages {
		if _, ok := stages[target]; !ok {
			l.picker.SetStatus(target, route.Status{})
			l.log.Info("target in full use", slog.String("target", string(target)))
		}
	}
	l.stages = stages
	l.weighSuspects(now, stages)
}

// enterStage discards the target's scores from its previous stage and logs the new one.
func (l *detectionLoop) enterStage(ejection health.Ejection) {
	if !l.coordinated[l.serviceOf(ejection.Target)] {
		// On the coordinator, the ejector resets the scores when it decides.
		l.detector.Reset(ejection.Target)
	}
	if ejection.Stage == health.StageEjected {
		l.ejectionCount.Add(1)
	}
	l.log.Info("target stage", slog.String("target", string(ejection.Target)), slog.String("stage", ejection.Stage.String()),
		slog.String("place", string(ejection.Place)), slog.Int("relapses", ejection.PriorEjections))
}

func (l *detectionLoop) serviceOf(id ferry.TargetID) ferry.ServiceID {
	for _, target := range l.inventory.Targets {
		if target.ID == id {
			return target.Service
		}
	}
	return ""
}

// weighSuspects lowers the weight of suspected targets that have no ejection.
func (l *detectionLoop) weighSuspects(now ferry.Moment, stages map[ferry.TargetID]health.Stage) {
	suspected := map[ferry.TargetID]bool{}
	scores := map[ferry.TargetID]health.Score{}
	for _, service := range l.inventory.Services {
		for _, suspect := range l.detector.Suspects(now, service.ID) {
			id := suspect.Target.ID
			scores[id] = l.detector.Score(id, l.self.Place)
			if _, isDecided := stages[id]; isDecided || (suspect.Place != "" && suspect.Place != l.self.Place) {
				continue
			}
			suspected[id] = true
			if !l.suspected[id] {
				l.picker.SetStatus(id, route.Status{Weight: suspectWeight})
				l.log.Info("target suspected", slog.String("target", string(id)), slog.Float64("excess", suspect.Excess),
					slog.Float64("share", suspect.Share), slog.String("place", string(suspect.Place)))
			}
		}
	}
	for id := range l.suspected {
		if _, isDecided := stages[id]; !suspected[id] && !isDecided {
			l.picker.SetStatus(id, route.Status{})
		}
	}
	l.suspected = suspected
	l.scores.Store(&scores)
}

func routeStatus(ejection health.Ejection) route.Status {
	switch ejection.Stage {
	case health.StageEjected:
		return route.Status{Ejected: true}
	case health.StageTrial:
		return route.Status{Trial: true}
	case health.StageSlowStart:
	}
	progress := float64(ejection.Age) / float64(health.SlowStartDuration)
	return route.Status{Weight: slowStartWeight + (1-slowStartWeight)*min(1, progress)}
}
