/** Validator generated from schema/log.yaml.
 * @module */

// @ts-nocheck: generated code
"use strict";
export const validate = validate20;
export default validate20;
const schema31 = {"$schema":"https://json-schema.org/draft/2020-12/schema","title":"LogMessage","description":"Messages between replicas of the log. `from` and `to` are the incarnations of\nthe two data folders; the hosts stand in the envelope. An empty `to` means\nwhichever folder the host has now.\n","type":"object","required":["type"],"discriminator":{"propertyName":"type"},"oneOf":[{"$ref":"#/$defs/Probe"},{"$ref":"#/$defs/Probed"},{"$ref":"#/$defs/VoteRequest"},{"$ref":"#/$defs/Vote"},{"$ref":"#/$defs/Heartbeat"},{"$ref":"#/$defs/HeartbeatReply"},{"$ref":"#/$defs/Append"},{"$ref":"#/$defs/Appended"},{"$ref":"#/$defs/SnapshotChunk"},{"$ref":"#/$defs/SnapshotReply"},{"$ref":"#/$defs/TimeoutNow"}],"$defs":{"Count":{"title":"Count","type":"integer","minimum":0},"Incarnation":{"title":"Incarnation","type":"string","maxLength":16},"ReplicaId":{"title":"ReplicaId","description":"Host and incarnation of its data folder, joined by a tilde.","type":"string","pattern":"^[a-z0-9][a-z0-9.-]*~[0-9a-f]{1,16}$"},"Members":{"title":"Members","type":"object","required":["voters","learners"],"properties":{"voters":{"type":"array","items":{"$ref":"#/$defs/ReplicaId"}},"learners":{"type":"array","items":{"$ref":"#/$defs/ReplicaId"}}}},"Command":{"title":"Command","description":"Opaque to the log but for its id and type.","type":"object","required":["id","type"],"properties":{"id":{"type":"string"},"type":{"type":"string"}},"additionalProperties":true},"Entry":{"title":"Entry","description":"An entry without command or members opens a term.","type":"object","required":["index","term"],"properties":{"index":{"$ref":"#/$defs/Count"},"term":{"$ref":"#/$defs/Count"},"command":{"$ref":"#/$defs/Command"},"members":{"$ref":"#/$defs/Members"}}},"Probe":{"title":"Probe","description":"Asks a host whether its log is empty; asks a leader to be added.","type":"object","required":["type","from","to"],"properties":{"type":{"const":"probe"},"from":{"$ref":"#/$defs/Incarnation"},"to":{"$ref":"#/$defs/Incarnation"}}},"Probed":{"title":"Probed","type":"object","required":["type","from","to","empty"],"properties":{"type":{"const":"probed"},"from":{"$ref":"#/$defs/Incarnation"},"to":{"$ref":"#/$defs/Incarnation"},"empty":{"type":"boolean"}}},"VoteRequest":{"title":"VoteRequest","type":"object","required":["type","from","to","term","lastIndex","lastTerm"],"properties":{"type":{"const":"vote-request"},"from":{"$ref":"#/$defs/Incarnation"},"to":{"$ref":"#/$defs/Incarnation"},"term":{"$ref":"#/$defs/Count"},"lastIndex":{"$ref":"#/$defs/Count"},"lastTerm":{"$ref":"#/$defs/Count"},"pre":{"type":"boolean","description":"Asks without raising the term."},"transfer":{"type":"boolean","description":"The leader has asked for it."}}},"Vote":{"title":"Vote","type":"object","required":["type","from","to","term","granted"],"properties":{"type":{"const":"vote"},"from":{"$ref":"#/$defs/Incarnation"},"to":{"$ref":"#/$defs/Incarnation"},"term":{"$ref":"#/$defs/Count"},"granted":{"type":"boolean"},"pre":{"type":"boolean"}}},"Heartbeat":{"title":"Heartbeat","type":"object","required":["type","from","to","term","commit","at"],"properties":{"type":{"const":"heartbeat"},"from":{"$ref":"#/$defs/Incarnation"},"to":{"$ref":"#/$defs/Incarnation"},"term":{"$ref":"#/$defs/Count"},"commit":{"$ref":"#/$defs/Count"},"at":{"type":"number","description":"Leader's clock; echoed by the reply."}}},"HeartbeatReply":{"title":"HeartbeatReply","type":"object","required":["type","from","to","term","at"],"properties":{"type":{"const":"heartbeat-reply"},"from":{"$ref":"#/$defs/Incarnation"},"to":{"$ref":"#/$defs/Incarnation"},"term":{"$ref":"#/$defs/Count"},"at":{"type":"number"}}},"Append":{"title":"Append","type":"object","required":["type","from","to","term","previous","previousTerm","entries","commit","at"],"properties":{"type":{"const":"append"},"from":{"$ref":"#/$defs/Incarnation"},"to":{"$ref":"#/$defs/Incarnation"},"term":{"$ref":"#/$defs/Count"},"previous":{"$ref":"#/$defs/Count"},"previousTerm":{"$ref":"#/$defs/Count"},"entries":{"type":"array","items":{"$ref":"#/$defs/Entry"}},"commit":{"$ref":"#/$defs/Count"},"at":{"type":"number"}}},"Appended":{"title":"Appended","type":"object","required":["type","from","to","term","ok","previous","match","at"],"properties":{"type":{"const":"appended"},"from":{"$ref":"#/$defs/Incarnation"},"to":{"$ref":"#/$defs/Incarnation"},"term":{"$ref":"#/$defs/Count"},"ok":{"type":"boolean"},"previous":{"$ref":"#/$defs/Count"},"match":{"description":"Last index known to match; when refused, where to try next.","$ref":"#/$defs/Count"},"at":{"type":"number"}}},"SnapshotChunk":{"title":"SnapshotChunk","type":"object","required":["type","from","to","term","index","indexTerm","members","offset","length","data","at"],"properties":{"type":{"const":"snapshot"},"from":{"$ref":"#/$defs/Incarnation"},"to":{"$ref":"#/$defs/Incarnation"},"term":{"$ref":"#/$defs/Count"},"index":{"$ref":"#/$defs/Count"},"indexTerm":{"$ref":"#/$defs/Count"},"members":{"$ref":"#/$defs/Members"},"offset":{"$ref":"#/$defs/Count"},"length":{"$ref":"#/$defs/Count"},"data":{"type":"string"},"at":{"type":"number"}}},"SnapshotReply":{"title":"SnapshotReply","type":"object","required":["type","from","to","term","index","offset","at"],"properties":{"type":{"const":"snapshot-reply"},"from":{"$ref":"#/$defs/Incarnation"},"to":{"$ref":"#/$defs/Incarnation"},"term":{"$ref":"#/$defs/Count"},"index":{"$ref":"#/$defs/Count"},"offset":{"$ref":"#/$defs/Count"},"at":{"type":"number"}}},"TimeoutNow":{"title":"TimeoutNow","description":"Asks a follower to stand for election at once.","type":"object","required":["type","from","to","term"],"properties":{"type":{"const":"timeout-now"},"from":{"$ref":"#/$defs/Incarnation"},"to":{"$ref":"#/$defs/Incarnation"},"term":{"$ref":"#/$defs/Count"}}}}};
const schema32 = {"title":"Probe","description":"Asks a host whether its log is empty; asks a leader to be added.","type":"object","required":["type","from","to"],"properties":{"type":{"const":"probe"},"from":{"$ref":"#/$defs/Incarnation"},"to":{"$ref":"#/$defs/Incarnation"}}};
const schema33 = {"title":"Incarnation","type":"string","maxLength":16};

function validate21(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate21.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((((data.type === undefined) && (missing0 = "type")) || ((data.from === undefined) && (missing0 = "from"))) || ((data.to === undefined) && (missing0 = "to"))){
validate21.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema32.required,parentSchema:schema32,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if("probe" !== data0){
validate21.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "probe"},message:"must be equal to constant",schema:"probe",parentSchema:schema32.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.from !== undefined){
let data1 = data.from;
const _errs2 = errors;
const _errs3 = errors;
if(errors === _errs3){
if(typeof data1 === "string"){
if(data1.length > 16){
validate21.errors = [{instancePath:instancePath+"/from",schemaPath:"#/$defs/Incarnation/maxLength",keyword:"maxLength",params:{limit: 16},message:"must NOT have more than 16 characters",schema:16,parentSchema:schema33,data:data1}];
return false;
}
}
else {
validate21.errors = [{instancePath:instancePath+"/from",schemaPath:"#/$defs/Incarnation/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema33.type,parentSchema:schema33,data:data1}];
return false;
}
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.to !== undefined){
let data2 = data.to;
const _errs5 = errors;
const _errs6 = errors;
if(errors === _errs6){
if(typeof data2 === "string"){
if(data2.length > 16){
validate21.errors = [{instancePath:instancePath+"/to",schemaPath:"#/$defs/Incarnation/maxLength",keyword:"maxLength",params:{limit: 16},message:"must NOT have more than 16 characters",schema:16,parentSchema:schema33,data:data2}];
return false;
}
}
else {
validate21.errors = [{instancePath:instancePath+"/to",schemaPath:"#/$defs/Incarnation/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema33.type,parentSchema:schema33,data:data2}];
return false;
}
}
var valid0 = _errs5 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
else {
validate21.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema32.type,parentSchema:schema32,data}];
return false;
}
}
validate21.errors = vErrors;
return errors === 0;
}
validate21.evaluated = {"props":{"type":true,"from":true,"to":true},"dynamicProps":false,"dynamicItems":false};

const schema35 = {"title":"Probed","type":"object","required":["type","from","to","empty"],"properties":{"type":{"const":"probed"},"from":{"$ref":"#/$defs/Incarnation"},"to":{"$ref":"#/$defs/Incarnation"},"empty":{"type":"boolean"}}};

function validate22(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate22.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((((data.type === undefined) && (missing0 = "type")) || ((data.from === undefined) && (missing0 = "from"))) || ((data.to === undefined) && (missing0 = "to"))) || ((data.empty === undefined) && (missing0 = "empty"))){
validate22.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema35.required,parentSchema:schema35,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if("probed" !== data0){
validate22.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "probed"},message:"must be equal to constant",schema:"probed",parentSchema:schema35.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.from !== undefined){
let data1 = data.from;
const _errs2 = errors;
const _errs3 = errors;
if(errors === _errs3){
if(typeof data1 === "string"){
if(data1.length > 16){
validate22.errors = [{instancePath:instancePath+"/from",schemaPath:"#/$defs/Incarnation/maxLength",keyword:"maxLength",params:{limit: 16},message:"must NOT have more than 16 characters",schema:16,parentSchema:schema33,data:data1}];
return false;
}
}
else {
validate22.errors = [{instancePath:instancePath+"/from",schemaPath:"#/$defs/Incarnation/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema33.type,parentSchema:schema33,data:data1}];
return false;
}
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.to !== undefined){
let data2 = data.to;
const _errs5 = errors;
const _errs6 = errors;
if(errors === _errs6){
if(typeof data2 === "string"){
if(data2.length > 16){
validate22.errors = [{instancePath:instancePath+"/to",schemaPath:"#/$defs/Incarnation/maxLength",keyword:"maxLength",params:{limit: 16},message:"must NOT have more than 16 characters",schema:16,parentSchema:schema33,data:data2}];
return false;
}
}
else {
validate22.errors = [{instancePath:instancePath+"/to",schemaPath:"#/$defs/Incarnation/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema33.type,parentSchema:schema33,data:data2}];
return false;
}
}
var valid0 = _errs5 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.empty !== undefined){
let data3 = data.empty;
const _errs8 = errors;
if(typeof data3 !== "boolean"){
validate22.errors = [{instancePath:instancePath+"/empty",schemaPath:"#/properties/empty/type",keyword:"type",params:{type: "boolean"},message:"must be boolean",schema:schema35.properties.empty.type,parentSchema:schema35.properties.empty,data:data3}];
return false;
}
var valid0 = _errs8 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
else {
validate22.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema35.type,parentSchema:schema35,data}];
return false;
}
}
validate22.errors = vErrors;
return errors === 0;
}
validate22.evaluated = {"props":{"type":true,"from":true,"to":true,"empty":true},"dynamicProps":false,"dynamicItems":false};

const schema38 = {"title":"VoteRequest","type":"object","required":["type","from","to","term","lastIndex","lastTerm"],"properties":{"type":{"const":"vote-request"},"from":{"$ref":"#/$defs/Incarnation"},"to":{"$ref":"#/$defs/Incarnation"},"term":{"$ref":"#/$defs/Count"},"lastIndex":{"$ref":"#/$defs/Count"},"lastTerm":{"$ref":"#/$defs/Count"},"pre":{"type":"boolean","description":"Asks without raising the term."},"transfer":{"type":"boolean","description":"The leader has asked for it."}}};
const schema41 = {"title":"Count","type":"integer","minimum":0};

function validate23(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate23.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((((((data.type === undefined) && (missing0 = "type")) || ((data.from === undefined) && (missing0 = "from"))) || ((data.to === undefined) && (missing0 = "to"))) || ((data.term === undefined) && (missing0 = "term"))) || ((data.lastIndex === undefined) && (missing0 = "lastIndex"))) || ((data.lastTerm === undefined) && (missing0 = "lastTerm"))){
validate23.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema38.required,parentSchema:schema38,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if("vote-request" !== data0){
validate23.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "vote-request"},message:"must be equal to constant",schema:"vote-request",parentSchema:schema38.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.from !== undefined){
let data1 = data.from;
const _errs2 = errors;
const _errs3 = errors;
if(errors === _errs3){
if(typeof data1 === "string"){
if(data1.length > 16){
validate23.errors = [{instancePath:instancePath+"/from",schemaPath:"#/$defs/Incarnation/maxLength",keyword:"maxLength",params:{limit: 16},message:"must NOT have more than 16 characters",schema:16,parentSchema:schema33,data:data1}];
return false;
}
}
else {
validate23.errors = [{instancePath:instancePath+"/from",schemaPath:"#/$defs/Incarnation/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema33.type,parentSchema:schema33,data:data1}];
return false;
}
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.to !== undefined){
let data2 = data.to;
const _errs5 = errors;
const _errs6 = errors;
if(errors === _errs6){
if(typeof data2 === "string"){
if(data2.length > 16){
validate23.errors = [{instancePath:instancePath+"/to",schemaPath:"#/$defs/Incarnation/maxLength",keyword:"maxLength",params:{limit: 16},message:"must NOT have more than 16 characters",schema:16,parentSchema:schema33,data:data2}];
return false;
}
}
else {
validate23.errors = [{instancePath:instancePath+"/to",schemaPath:"#/$defs/Incarnation/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema33.type,parentSchema:schema33,data:data2}];
return false;
}
}
var valid0 = _errs5 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.term !== undefined){
let data3 = data.term;
const _errs8 = errors;
const _errs9 = errors;
if(!(((typeof data3 == "number") && (!(data3 % 1) && !isNaN(data3))) && (isFinite(data3)))){
validate23.errors = [{instancePath:instancePath+"/term",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema41.type,parentSchema:schema41,data:data3}];
return false;
}
if(errors === _errs9){
if((typeof data3 == "number") && (isFinite(data3))){
if(data3 < 0 || isNaN(data3)){
validate23.errors = [{instancePath:instancePath+"/term",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema41,data:data3}];
return false;
}
}
}
var valid0 = _errs8 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.lastIndex !== undefined){
let data4 = data.lastIndex;
const _errs11 = errors;
const _errs12 = errors;
if(!(((typeof data4 == "number") && (!(data4 % 1) && !isNaN(data4))) && (isFinite(data4)))){
validate23.errors = [{instancePath:instancePath+"/lastIndex",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema41.type,parentSchema:schema41,data:data4}];
return false;
}
if(errors === _errs12){
if((typeof data4 == "number") && (isFinite(data4))){
if(data4 < 0 || isNaN(data4)){
validate23.errors = [{instancePath:instancePath+"/lastIndex",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema41,data:data4}];
return false;
}
}
}
var valid0 = _errs11 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.lastTerm !== undefined){
let data5 = data.lastTerm;
const _errs14 = errors;
const _errs15 = errors;
if(!(((typeof data5 == "number") && (!(data5 % 1) && !isNaN(data5))) && (isFinite(data5)))){
validate23.errors = [{instancePath:instancePath+"/lastTerm",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema41.type,parentSchema:schema41,data:data5}];
return false;
}
if(errors === _errs15){
if((typeof data5 == "number") && (isFinite(data5))){
if(data5 < 0 || isNaN(data5)){
validate23.errors = [{instancePath:instancePath+"/lastTerm",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema41,data:data5}];
return false;
}
}
}
var valid0 = _errs14 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.pre !== undefined){
let data6 = data.pre;
const _errs17 = errors;
if(typeof data6 !== "boolean"){
validate23.errors = [{instancePath:instancePath+"/pre",schemaPath:"#/properties/pre/type",keyword:"type",params:{type: "boolean"},message:"must be boolean",schema:schema38.properties.pre.type,parentSchema:schema38.properties.pre,data:data6}];
return false;
}
var valid0 = _errs17 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.transfer !== undefined){
let data7 = data.transfer;
const _errs19 = errors;
if(typeof data7 !== "boolean"){
validate23.errors = [{instancePath:instancePath+"/transfer",schemaPath:"#/properties/transfer/type",keyword:"type",params:{type: "boolean"},message:"must be boolean",schema:schema38.properties.transfer.type,parentSchema:schema38.properties.transfer,data:data7}];
return false;
}
var valid0 = _errs19 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
}
}
}
else {
validate23.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema38.type,parentSchema:schema38,data}];
return false;
}
}
validate23.errors = vErrors;
return errors === 0;
}
validate23.evaluated = {"props":{"type":true,"from":true,"to":true,"term":true,"lastIndex":true,"lastTerm":true,"pre":true,"transfer":true},"dynamicProps":false,"dynamicItems":false};

const schema44 = {"title":"Vote","type":"object","required":["type","from","to","term","granted"],"properties":{"type":{"const":"vote"},"from":{"$ref":"#/$defs/Incarnation"},"to":{"$ref":"#/$defs/Incarnation"},"term":{"$ref":"#/$defs/Count"},"granted":{"type":"boolean"},"pre":{"type":"boolean"}}};

function validate24(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate24.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((((((data.type === undefined) && (missing0 = "type")) || ((data.from === undefined) && (missing0 = "from"))) || ((data.to === undefined) && (missing0 = "to"))) || ((data.term === undefined) && (missing0 = "term"))) || ((data.granted === undefined) && (missing0 = "granted"))){
validate24.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema44.required,parentSchema:schema44,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if("vote" !== data0){
validate24.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "vote"},message:"must be equal to constant",schema:"vote",parentSchema:schema44.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.from !== undefined){
let data1 = data.from;
const _errs2 = errors;
const _errs3 = errors;
if(errors === _errs3){
if(typeof data1 === "string"){
if(data1.length > 16){
validate24.errors = [{instancePath:instancePath+"/from",schemaPath:"#/$defs/Incarnation/maxLength",keyword:"maxLength",params:{limit: 16},message:"must NOT have more than 16 characters",schema:16,parentSchema:schema33,data:data1}];
return false;
}
}
else {
validate24.errors = [{instancePath:instancePath+"/from",schemaPath:"#/$defs/Incarnation/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema33.type,parentSchema:schema33,data:data1}];
return false;
}
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.to !== undefined){
let data2 = data.to;
const _errs5 = errors;
const _errs6 = errors;
if(errors === _errs6){
if(typeof data2 === "string"){
if(data2.length > 16){
validate24.errors = [{instancePath:instancePath+"/to",schemaPath:"#/$defs/Incarnation/maxLength",keyword:"maxLength",params:{limit: 16},message:"must NOT have more than 16 characters",schema:16,parentSchema:schema33,data:data2}];
return false;
}
}
else {
validate24.errors = [{instancePath:instancePath+"/to",schemaPath:"#/$defs/Incarnation/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema33.type,parentSchema:schema33,data:data2}];
return false;
}
}
var valid0 = _errs5 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.term !== undefined){
let data3 = data.term;
const _errs8 = errors;
const _errs9 = errors;
if(!(((typeof data3 == "number") && (!(data3 % 1) && !isNaN(data3))) && (isFinite(data3)))){
validate24.errors = [{instancePath:instancePath+"/term",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema41.type,parentSchema:schema41,data:data3}];
return false;
}
if(errors === _errs9){
if((typeof data3 == "number") && (isFinite(data3))){
if(data3 < 0 || isNaN(data3)){
validate24.errors = [{instancePath:instancePath+"/term",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema41,data:data3}];
return false;
}
}
}
var valid0 = _errs8 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.granted !== undefined){
let data4 = data.granted;
const _errs11 = errors;
if(typeof data4 !== "boolean"){
validate24.errors = [{instancePath:instancePath+"/granted",schemaPath:"#/properties/granted/type",keyword:"type",params:{type: "boolean"},message:"must be boolean",schema:schema44.properties.granted.type,parentSchema:schema44.properties.granted,data:data4}];
return false;
}
var valid0 = _errs11 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.pre !== undefined){
let data5 = data.pre;
const _errs13 = errors;
if(typeof data5 !== "boolean"){
validate24.errors = [{instancePath:instancePath+"/pre",schemaPath:"#/properties/pre/type",keyword:"type",params:{type: "boolean"},message:"must be boolean",schema:schema44.properties.pre.type,parentSchema:schema44.properties.pre,data:data5}];
return false;
}
var valid0 = _errs13 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
}
else {
validate24.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema44.type,parentSchema:schema44,data}];
return false;
}
}
validate24.errors = vErrors;
return errors === 0;
}
validate24.evaluated = {"props":{"type":true,"from":true,"to":true,"term":true,"granted":true,"pre":true},"dynamicProps":false,"dynamicItems":false};

const schema48 = {"title":"Heartbeat","type":"object","required":["type","from","to","term","commit","at"],"properties":{"type":{"const":"heartbeat"},"from":{"$ref":"#/$defs/Incarnation"},"to":{"$ref":"#/$defs/Incarnation"},"term":{"$ref":"#/$defs/Count"},"commit":{"$ref":"#/$defs/Count"},"at":{"type":"number","description":"Leader's clock; echoed by the reply."}}};

function validate25(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate25.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((((((data.type === undefined) && (missing0 = "type")) || ((data.from === undefined) && (missing0 = "from"))) || ((data.to === undefined) && (missing0 = "to"))) || ((data.term === undefined) && (missing0 = "term"))) || ((data.commit === undefined) && (missing0 = "commit"))) || ((data.at === undefined) && (missing0 = "at"))){
validate25.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema48.required,parentSchema:schema48,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if("heartbeat" !== data0){
validate25.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "heartbeat"},message:"must be equal to constant",schema:"heartbeat",parentSchema:schema48.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.from !== undefined){
let data1 = data.from;
const _errs2 = errors;
const _errs3 = errors;
if(errors === _errs3){
if(typeof data1 === "string"){
if(data1.length > 16){
validate25.errors = [{instancePath:instancePath+"/from",schemaPath:"#/$defs/Incarnation/maxLength",keyword:"maxLength",params:{limit: 16},message:"must NOT have more than 16 characters",schema:16,parentSchema:schema33,data:data1}];
return false;
}
}
else {
validate25.errors = [{instancePath:instancePath+"/from",schemaPath:"#/$defs/Incarnation/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema33.type,parentSchema:schema33,data:data1}];
return false;
}
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.to !== undefined){
let data2 = data.to;
const _errs5 = errors;
const _errs6 = errors;
if(errors === _errs6){
if(typeof data2 === "string"){
if(data2.length > 16){
validate25.errors = [{instancePath:instancePath+"/to",schemaPath:"#/$defs/Incarnation/maxLength",keyword:"maxLength",params:{limit: 16},message:"must NOT have more than 16 characters",schema:16,parentSchema:schema33,data:data2}];
return false;
}
}
else {
validate25.errors = [{instancePath:instancePath+"/to",schemaPath:"#/$defs/Incarnation/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema33.type,parentSchema:schema33,data:data2}];
return false;
}
}
var valid0 = _errs5 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.term !== undefined){
let data3 = data.term;
const _errs8 = errors;
const _errs9 = errors;
if(!(((typeof data3 == "number") && (!(data3 % 1) && !isNaN(data3))) && (isFinite(data3)))){
validate25.errors = [{instancePath:instancePath+"/term",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema41.type,parentSchema:schema41,data:data3}];
return false;
}
if(errors === _errs9){
if((typeof data3 == "number") && (isFinite(data3))){
if(data3 < 0 || isNaN(data3)){
validate25.errors = [{instancePath:instancePath+"/term",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema41,data:data3}];
return false;
}
}
}
var valid0 = _errs8 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.commit !== undefined){
let data4 = data.commit;
const _errs11 = errors;
const _errs12 = errors;
if(!(((typeof data4 == "number") && (!(data4 % 1) && !isNaN(data4))) && (isFinite(data4)))){
validate25.errors = [{instancePath:instancePath+"/commit",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema41.type,parentSchema:schema41,data:data4}];
return false;
}
if(errors === _errs12){
if((typeof data4 == "number") && (isFinite(data4))){
if(data4 < 0 || isNaN(data4)){
validate25.errors = [{instancePath:instancePath+"/commit",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema41,data:data4}];
return false;
}
}
}
var valid0 = _errs11 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.at !== undefined){
let data5 = data.at;
const _errs14 = errors;
if(!((typeof data5 == "number") && (isFinite(data5)))){
validate25.errors = [{instancePath:instancePath+"/at",schemaPath:"#/properties/at/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema48.properties.at.type,parentSchema:schema48.properties.at,data:data5}];
return false;
}
var valid0 = _errs14 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
}
else {
validate25.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema48.type,parentSchema:schema48,data}];
return false;
}
}
validate25.errors = vErrors;
return errors === 0;
}
validate25.evaluated = {"props":{"type":true,"from":true,"to":true,"term":true,"commit":true,"at":true},"dynamicProps":false,"dynamicItems":false};

const schema53 = {"title":"HeartbeatReply","type":"object","required":["type","from","to","term","at"],"properties":{"type":{"const":"heartbeat-reply"},"from":{"$ref":"#/$defs/Incarnation"},"to":{"$ref":"#/$defs/Incarnation"},"term":{"$ref":"#/$defs/Count"},"at":{"type":"number"}}};

function validate26(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate26.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((((((data.type === undefined) && (missing0 = "type")) || ((data.from === undefined) && (missing0 = "from"))) || ((data.to === undefined) && (missing0 = "to"))) || ((data.term === undefined) && (missing0 = "term"))) || ((data.at === undefined) && (missing0 = "at"))){
validate26.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema53.required,parentSchema:schema53,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if("heartbeat-reply" !== data0){
validate26.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "heartbeat-reply"},message:"must be equal to constant",schema:"heartbeat-reply",parentSchema:schema53.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.from !== undefined){
let data1 = data.from;
const _errs2 = errors;
const _errs3 = errors;
if(errors === _errs3){
if(typeof data1 === "string"){
if(data1.length > 16){
validate26.errors = [{instancePath:instancePath+"/from",schemaPath:"#/$defs/Incarnation/maxLength",keyword:"maxLength",params:{limit: 16},message:"must NOT have more than 16 characters",schema:16,parentSchema:schema33,data:data1}];
return false;
}
}
else {
validate26.errors = [{instancePath:instancePath+"/from",schemaPath:"#/$defs/Incarnation/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema33.type,parentSchema:schema33,data:data1}];
return false;
}
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.to !== undefined){
let data2 = data.to;
const _errs5 = errors;
const _errs6 = errors;
if(errors === _errs6){
if(typeof data2 === "string"){
if(data2.length > 16){
validate26.errors = [{instancePath:instancePath+"/to",schemaPath:"#/$defs/Incarnation/maxLength",keyword:"maxLength",params:{limit: 16},message:"must NOT have more than 16 characters",schema:16,parentSchema:schema33,data:data2}];
return false;
}
}
else {
validate26.errors = [{instancePath:instancePath+"/to",schemaPath:"#/$defs/Incarnation/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema33.type,parentSchema:schema33,data:data2}];
return false;
}
}
var valid0 = _errs5 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.term !== undefined){
let data3 = data.term;
const _errs8 = errors;
const _errs9 = errors;
if(!(((typeof data3 == "number") && (!(data3 % 1) && !isNaN(data3))) && (isFinite(data3)))){
validate26.errors = [{instancePath:instancePath+"/term",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema41.type,parentSchema:schema41,data:data3}];
return false;
}
if(errors === _errs9){
if((typeof data3 == "number") && (isFinite(data3))){
if(data3 < 0 || isNaN(data3)){
validate26.errors = [{instancePath:instancePath+"/term",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema41,data:data3}];
return false;
}
}
}
var valid0 = _errs8 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.at !== undefined){
let data4 = data.at;
const _errs11 = errors;
if(!((typeof data4 == "number") && (isFinite(data4)))){
validate26.errors = [{instancePath:instancePath+"/at",schemaPath:"#/properties/at/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema53.properties.at.type,parentSchema:schema53.properties.at,data:data4}];
return false;
}
var valid0 = _errs11 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
else {
validate26.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema53.type,parentSchema:schema53,data}];
return false;
}
}
validate26.errors = vErrors;
return errors === 0;
}
validate26.evaluated = {"props":{"type":true,"from":true,"to":true,"term":true,"at":true},"dynamicProps":false,"dynamicItems":false};

const schema57 = {"title":"Append","type":"object","required":["type","from","to","term","previous","previousTerm","entries","commit","at"],"properties":{"type":{"const":"append"},"from":{"$ref":"#/$defs/Incarnation"},"to":{"$ref":"#/$defs/Incarnation"},"term":{"$ref":"#/$defs/Count"},"previous":{"$ref":"#/$defs/Count"},"previousTerm":{"$ref":"#/$defs/Count"},"entries":{"type":"array","items":{"$ref":"#/$defs/Entry"}},"commit":{"$ref":"#/$defs/Count"},"at":{"type":"number"}}};
const schema63 = {"title":"Entry","description":"An entry without command or members opens a term.","type":"object","required":["index","term"],"properties":{"index":{"$ref":"#/$defs/Count"},"term":{"$ref":"#/$defs/Count"},"command":{"$ref":"#/$defs/Command"},"members":{"$ref":"#/$defs/Members"}}};
const schema66 = {"title":"Command","description":"Opaque to the log but for its id and type.","type":"object","required":["id","type"],"properties":{"id":{"type":"string"},"type":{"type":"string"}},"additionalProperties":true};
const schema67 = {"title":"Members","type":"object","required":["voters","learners"],"properties":{"voters":{"type":"array","items":{"$ref":"#/$defs/ReplicaId"}},"learners":{"type":"array","items":{"$ref":"#/$defs/ReplicaId"}}}};
const schema68 = {"title":"ReplicaId","description":"Host and incarnation of its data folder, joined by a tilde.","type":"string","pattern":"^[a-z0-9][a-z0-9.-]*~[0-9a-f]{1,16}$"};
const pattern4 = new RegExp("^[a-z0-9][a-z0-9.-]*~[0-9a-f]{1,16}$", "u");

function validate29(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate29.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((data.voters === undefined) && (missing0 = "voters")) || ((data.learners === undefined) && (missing0 = "learners"))){
validate29.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema67.required,parentSchema:schema67,data}];
return false;
}
else {
if(data.voters !== undefined){
let data0 = data.voters;
const _errs1 = errors;
if(errors === _errs1){
if(Array.isArray(data0)){
var valid1 = true;
const len0 = data0.length;
for(let i0=0; i0<len0; i0++){
let data1 = data0[i0];
const _errs3 = errors;
const _errs4 = errors;
if(errors === _errs4){
if(typeof data1 === "string"){
if(!pattern4.test(data1)){
validate29.errors = [{instancePath:instancePath+"/voters/" + i0,schemaPath:"#/$defs/ReplicaId/pattern",keyword:"pattern",params:{pattern: "^[a-z0-9][a-z0-9.-]*~[0-9a-f]{1,16}$"},message:"must match pattern \""+"^[a-z0-9][a-z0-9.-]*~[0-9a-f]{1,16}$"+"\"",schema:"^[a-z0-9][a-z0-9.-]*~[0-9a-f]{1,16}$",parentSchema:schema68,data:data1}];
return false;
}
}
else {
validate29.errors = [{instancePath:instancePath+"/voters/" + i0,schemaPath:"#/$defs/ReplicaId/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema68.type,parentSchema:schema68,data:data1}];
return false;
}
}
var valid1 = _errs3 === errors;
if(!valid1){
break;
}
}
}
else {
validate29.errors = [{instancePath:instancePath+"/voters",schemaPath:"#/properties/voters/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema67.properties.voters.type,parentSchema:schema67.properties.voters,data:data0}];
return false;
}
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.learners !== undefined){
let data2 = data.learners;
const _errs6 = errors;
if(errors === _errs6){
if(Array.isArray(data2)){
var valid3 = true;
const len1 = data2.length;
for(let i1=0; i1<len1; i1++){
let data3 = data2[i1];
const _errs8 = errors;
const _errs9 = errors;
if(errors === _errs9){
if(typeof data3 === "string"){
if(!pattern4.test(data3)){
validate29.errors = [{instancePath:instancePath+"/learners/" + i1,schemaPath:"#/$defs/ReplicaId/pattern",keyword:"pattern",params:{pattern: "^[a-z0-9][a-z0-9.-]*~[0-9a-f]{1,16}$"},message:"must match pattern \""+"^[a-z0-9][a-z0-9.-]*~[0-9a-f]{1,16}$"+"\"",schema:"^[a-z0-9][a-z0-9.-]*~[0-9a-f]{1,16}$",parentSchema:schema68,data:data3}];
return false;
}
}
else {
validate29.errors = [{instancePath:instancePath+"/learners/" + i1,schemaPath:"#/$defs/ReplicaId/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema68.type,parentSchema:schema68,data:data3}];
return false;
}
}
var valid3 = _errs8 === errors;
if(!valid3){
break;
}
}
}
else {
validate29.errors = [{instancePath:instancePath+"/learners",schemaPath:"#/properties/learners/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema67.properties.learners.type,parentSchema:schema67.properties.learners,data:data2}];
return false;
}
}
var valid0 = _errs6 === errors;
}
else {
var valid0 = true;
}
}
}
}
else {
validate29.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema67.type,parentSchema:schema67,data}];
return false;
}
}
validate29.errors = vErrors;
return errors === 0;
}
validate29.evaluated = {"props":{"voters":true,"learners":true},"dynamicProps":false,"dynamicItems":false};


function validate28(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate28.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((data.index === undefined) && (missing0 = "index")) || ((data.term === undefined) && (missing0 = "term"))){
validate28.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema63.required,parentSchema:schema63,data}];
return false;
}
else {
if(data.index !== undefined){
let data0 = data.index;
const _errs1 = errors;
const _errs2 = errors;
if(!(((typeof data0 == "number") && (!(data0 % 1) && !isNaN(data0))) && (isFinite(data0)))){
validate28.errors = [{instancePath:instancePath+"/index",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema41.type,parentSchema:schema41,data:data0}];
return false;
}
if(errors === _errs2){
if((typeof data0 == "number") && (isFinite(data0))){
if(data0 < 0 || isNaN(data0)){
validate28.errors = [{instancePath:instancePath+"/index",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema41,data:data0}];
return false;
}
}
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.term !== undefined){
let data1 = data.term;
const _errs4 = errors;
const _errs5 = errors;
if(!(((typeof data1 == "number") && (!(data1 % 1) && !isNaN(data1))) && (isFinite(data1)))){
validate28.errors = [{instancePath:instancePath+"/term",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema41.type,parentSchema:schema41,data:data1}];
return false;
}
if(errors === _errs5){
if((typeof data1 == "number") && (isFinite(data1))){
if(data1 < 0 || isNaN(data1)){
validate28.errors = [{instancePath:instancePath+"/term",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema41,data:data1}];
return false;
}
}
}
var valid0 = _errs4 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.command !== undefined){
let data2 = data.command;
const _errs7 = errors;
const _errs8 = errors;
if(errors === _errs8){
if(data2 && typeof data2 == "object" && !Array.isArray(data2)){
let missing1;
if(((data2.id === undefined) && (missing1 = "id")) || ((data2.type === undefined) && (missing1 = "type"))){
validate28.errors = [{instancePath:instancePath+"/command",schemaPath:"#/$defs/Command/required",keyword:"required",params:{missingProperty: missing1},message:"must have required property '"+missing1+"'",schema:schema66.required,parentSchema:schema66,data:data2}];
return false;
}
else {
if(data2.id !== undefined){
let data3 = data2.id;
const _errs11 = errors;
if(typeof data3 !== "string"){
validate28.errors = [{instancePath:instancePath+"/command/id",schemaPath:"#/$defs/Command/properties/id/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema66.properties.id.type,parentSchema:schema66.properties.id,data:data3}];
return false;
}
var valid4 = _errs11 === errors;
}
else {
var valid4 = true;
}
if(valid4){
if(data2.type !== undefined){
let data4 = data2.type;
const _errs13 = errors;
if(typeof data4 !== "string"){
validate28.errors = [{instancePath:instancePath+"/command/type",schemaPath:"#/$defs/Command/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema66.properties.type.type,parentSchema:schema66.properties.type,data:data4}];
return false;
}
var valid4 = _errs13 === errors;
}
else {
var valid4 = true;
}
}
}
}
else {
validate28.errors = [{instancePath:instancePath+"/command",schemaPath:"#/$defs/Command/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema66.type,parentSchema:schema66,data:data2}];
return false;
}
}
var valid0 = _errs7 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.members !== undefined){
const _errs15 = errors;
if(!(validate29(data.members, {instancePath:instancePath+"/members",parentData:data,parentDataProperty:"members",rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate29.errors : vErrors.concat(validate29.errors);
errors = vErrors.length;
}
var valid0 = _errs15 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
else {
validate28.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema63.type,parentSchema:schema63,data}];
return false;
}
}
validate28.errors = vErrors;
return errors === 0;
}
validate28.evaluated = {"props":{"index":true,"term":true,"command":true,"members":true},"dynamicProps":false,"dynamicItems":false};


function validate27(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate27.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((((((((((data.type === undefined) && (missing0 = "type")) || ((data.from === undefined) && (missing0 = "from"))) || ((data.to === undefined) && (missing0 = "to"))) || ((data.term === undefined) && (missing0 = "term"))) || ((data.previous === undefined) && (missing0 = "previous"))) || ((data.previousTerm === undefined) && (missing0 = "previousTerm"))) || ((data.entries === undefined) && (missing0 = "entries"))) || ((data.commit === undefined) && (missing0 = "commit"))) || ((data.at === undefined) && (missing0 = "at"))){
validate27.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema57.required,parentSchema:schema57,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if("append" !== data0){
validate27.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "append"},message:"must be equal to constant",schema:"append",parentSchema:schema57.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.from !== undefined){
let data1 = data.from;
const _errs2 = errors;
const _errs3 = errors;
if(errors === _errs3){
if(typeof data1 === "string"){
if(data1.length > 16){
validate27.errors = [{instancePath:instancePath+"/from",schemaPath:"#/$defs/Incarnation/maxLength",keyword:"maxLength",params:{limit: 16},message:"must NOT have more than 16 characters",schema:16,parentSchema:schema33,data:data1}];
return false;
}
}
else {
validate27.errors = [{instancePath:instancePath+"/from",schemaPath:"#/$defs/Incarnation/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema33.type,parentSchema:schema33,data:data1}];
return false;
}
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.to !== undefined){
let data2 = data.to;
const _errs5 = errors;
const _errs6 = errors;
if(errors === _errs6){
if(typeof data2 === "string"){
if(data2.length > 16){
validate27.errors = [{instancePath:instancePath+"/to",schemaPath:"#/$defs/Incarnation/maxLength",keyword:"maxLength",params:{limit: 16},message:"must NOT have more than 16 characters",schema:16,parentSchema:schema33,data:data2}];
return false;
}
}
else {
validate27.errors = [{instancePath:instancePath+"/to",schemaPath:"#/$defs/Incarnation/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema33.type,parentSchema:schema33,data:data2}];
return false;
}
}
var valid0 = _errs5 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.term !== undefined){
let data3 = data.term;
const _errs8 = errors;
const _errs9 = errors;
if(!(((typeof data3 == "number") && (!(data3 % 1) && !isNaN(data3))) && (isFinite(data3)))){
validate27.errors = [{instancePath:instancePath+"/term",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema41.type,parentSchema:schema41,data:data3}];
return false;
}
if(errors === _errs9){
if((typeof data3 == "number") && (isFinite(data3))){
if(data3 < 0 || isNaN(data3)){
validate27.errors = [{instancePath:instancePath+"/term",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema41,data:data3}];
return false;
}
}
}
var valid0 = _errs8 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.previous !== undefined){
let data4 = data.previous;
const _errs11 = errors;
const _errs12 = errors;
if(!(((typeof data4 == "number") && (!(data4 % 1) && !isNaN(data4))) && (isFinite(data4)))){
validate27.errors = [{instancePath:instancePath+"/previous",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema41.type,parentSchema:schema41,data:data4}];
return false;
}
if(errors === _errs12){
if((typeof data4 == "number") && (isFinite(data4))){
if(data4 < 0 || isNaN(data4)){
validate27.errors = [{instancePath:instancePath+"/previous",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema41,data:data4}];
return false;
}
}
}
var valid0 = _errs11 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.previousTerm !== undefined){
let data5 = data.previousTerm;
const _errs14 = errors;
const _errs15 = errors;
if(!(((typeof data5 == "number") && (!(data5 % 1) && !isNaN(data5))) && (isFinite(data5)))){
validate27.errors = [{instancePath:instancePath+"/previousTerm",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema41.type,parentSchema:schema41,data:data5}];
return false;
}
if(errors === _errs15){
if((typeof data5 == "number") && (isFinite(data5))){
if(data5 < 0 || isNaN(data5)){
validate27.errors = [{instancePath:instancePath+"/previousTerm",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema41,data:data5}];
return false;
}
}
}
var valid0 = _errs14 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.entries !== undefined){
let data6 = data.entries;
const _errs17 = errors;
if(errors === _errs17){
if(Array.isArray(data6)){
var valid6 = true;
const len0 = data6.length;
for(let i0=0; i0<len0; i0++){
const _errs19 = errors;
if(!(validate28(data6[i0], {instancePath:instancePath+"/entries/" + i0,parentData:data6,parentDataProperty:i0,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate28.errors : vErrors.concat(validate28.errors);
errors = vErrors.length;
}
var valid6 = _errs19 === errors;
if(!valid6){
break;
}
}
}
else {
validate27.errors = [{instancePath:instancePath+"/entries",schemaPath:"#/properties/entries/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema57.properties.entries.type,parentSchema:schema57.properties.entries,data:data6}];
return false;
}
}
var valid0 = _errs17 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.commit !== undefined){
let data8 = data.commit;
const _errs20 = errors;
const _errs21 = errors;
if(!(((typeof data8 == "number") && (!(data8 % 1) && !isNaN(data8))) && (isFinite(data8)))){
validate27.errors = [{instancePath:instancePath+"/commit",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema41.type,parentSchema:schema41,data:data8}];
return false;
}
if(errors === _errs21){
if((typeof data8 == "number") && (isFinite(data8))){
if(data8 < 0 || isNaN(data8)){
validate27.errors = [{instancePath:instancePath+"/commit",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema41,data:data8}];
return false;
}
}
}
var valid0 = _errs20 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.at !== undefined){
let data9 = data.at;
const _errs23 = errors;
if(!((typeof data9 == "number") && (isFinite(data9)))){
validate27.errors = [{instancePath:instancePath+"/at",schemaPath:"#/properties/at/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema57.properties.at.type,parentSchema:schema57.properties.at,data:data9}];
return false;
}
var valid0 = _errs23 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
}
}
}
}
else {
validate27.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema57.type,parentSchema:schema57,data}];
return false;
}
}
validate27.errors = vErrors;
return errors === 0;
}
validate27.evaluated = {"props":{"type":true,"from":true,"to":true,"term":true,"previous":true,"previousTerm":true,"entries":true,"commit":true,"at":true},"dynamicProps":false,"dynamicItems":false};

const schema71 = {"title":"Appended","type":"object","required":["type","from","to","term","ok","previous","match","at"],"properties":{"type":{"const":"appended"},"from":{"$ref":"#/$defs/Incarnation"},"to":{"$ref":"#/$defs/Incarnation"},"term":{"$ref":"#/$defs/Count"},"ok":{"type":"boolean"},"previous":{"$ref":"#/$defs/Count"},"match":{"description":"Last index known to match; when refused, where to try next.","$ref":"#/$defs/Count"},"at":{"type":"number"}}};

function validate32(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate32.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((((((((data.type === undefined) && (missing0 = "type")) || ((data.from === undefined) && (missing0 = "from"))) || ((data.to === undefined) && (missing0 = "to"))) || ((data.term === undefined) && (missing0 = "term"))) || ((data.ok === undefined) && (missing0 = "ok"))) || ((data.previous === undefined) && (missing0 = "previous"))) || ((data.match === undefined) && (missing0 = "match"))) || ((data.at === undefined) && (missing0 = "at"))){
validate32.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema71.required,parentSchema:schema71,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if("appended" !== data0){
validate32.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "appended"},message:"must be equal to constant",schema:"appended",parentSchema:schema71.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.from !== undefined){
let data1 = data.from;
const _errs2 = errors;
const _errs3 = errors;
if(errors === _errs3){
if(typeof data1 === "string"){
if(data1.length > 16){
validate32.errors = [{instancePath:instancePath+"/from",schemaPath:"#/$defs/Incarnation/maxLength",keyword:"maxLength",params:{limit: 16},message:"must NOT have more than 16 characters",schema:16,parentSchema:schema33,data:data1}];
return false;
}
}
else {
validate32.errors = [{instancePath:instancePath+"/from",schemaPath:"#/$defs/Incarnation/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema33.type,parentSchema:schema33,data:data1}];
return false;
}
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.to !== undefined){
let data2 = data.to;
const _errs5 = errors;
const _errs6 = errors;
if(errors === _errs6){
if(typeof data2 === "string"){
if(data2.length > 16){
validate32.errors = [{instancePath:instancePath+"/to",schemaPath:"#/$defs/Incarnation/maxLength",keyword:"maxLength",params:{limit: 16},message:"must NOT have more than 16 characters",schema:16,parentSchema:schema33,data:data2}];
return false;
}
}
else {
validate32.errors = [{instancePath:instancePath+"/to",schemaPath:"#/$defs/Incarnation/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema33.type,parentSchema:schema33,data:data2}];
return false;
}
}
var valid0 = _errs5 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.term !== undefined){
let data3 = data.term;
const _errs8 = errors;
const _errs9 = errors;
if(!(((typeof data3 == "number") && (!(data3 % 1) && !isNaN(data3))) && (isFinite(data3)))){
validate32.errors = [{instancePath:instancePath+"/term",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema41.type,parentSchema:schema41,data:data3}];
return false;
}
if(errors === _errs9){
if((typeof data3 == "number") && (isFinite(data3))){
if(data3 < 0 || isNaN(data3)){
validate32.errors = [{instancePath:instancePath+"/term",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema41,data:data3}];
return false;
}
}
}
var valid0 = _errs8 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.ok !== undefined){
let data4 = data.ok;
const _errs11 = errors;
if(typeof data4 !== "boolean"){
validate32.errors = [{instancePath:instancePath+"/ok",schemaPath:"#/properties/ok/type",keyword:"type",params:{type: "boolean"},message:"must be boolean",schema:schema71.properties.ok.type,parentSchema:schema71.properties.ok,data:data4}];
return false;
}
var valid0 = _errs11 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.previous !== undefined){
let data5 = data.previous;
const _errs13 = errors;
const _errs14 = errors;
if(!(((typeof data5 == "number") && (!(data5 % 1) && !isNaN(data5))) && (isFinite(data5)))){
validate32.errors = [{instancePath:instancePath+"/previous",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema41.type,parentSchema:schema41,data:data5}];
return false;
}
if(errors === _errs14){
if((typeof data5 == "number") && (isFinite(data5))){
if(data5 < 0 || isNaN(data5)){
validate32.errors = [{instancePath:instancePath+"/previous",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema41,data:data5}];
return false;
}
}
}
var valid0 = _errs13 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.match !== undefined){
let data6 = data.match;
const _errs16 = errors;
const _errs17 = errors;
if(!(((typeof data6 == "number") && (!(data6 % 1) && !isNaN(data6))) && (isFinite(data6)))){
validate32.errors = [{instancePath:instancePath+"/match",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema41.type,parentSchema:schema41,data:data6}];
return false;
}
if(errors === _errs17){
if((typeof data6 == "number") && (isFinite(data6))){
if(data6 < 0 || isNaN(data6)){
validate32.errors = [{instancePath:instancePath+"/match",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema41,data:data6}];
return false;
}
}
}
var valid0 = _errs16 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.at !== undefined){
let data7 = data.at;
const _errs19 = errors;
if(!((typeof data7 == "number") && (isFinite(data7)))){
validate32.errors = [{instancePath:instancePath+"/at",schemaPath:"#/properties/at/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema71.properties.at.type,parentSchema:schema71.properties.at,data:data7}];
return false;
}
var valid0 = _errs19 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
}
}
}
else {
validate32.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema71.type,parentSchema:schema71,data}];
return false;
}
}
validate32.errors = vErrors;
return errors === 0;
}
validate32.evaluated = {"props":{"type":true,"from":true,"to":true,"term":true,"ok":true,"previous":true,"match":true,"at":true},"dynamicProps":false,"dynamicItems":false};

const schema77 = {"title":"SnapshotChunk","type":"object","required":["type","from","to","term","index","indexTerm","members","offset","length","data","at"],"properties":{"type":{"const":"snapshot"},"from":{"$ref":"#/$defs/Incarnation"},"to":{"$ref":"#/$defs/Incarnation"},"term":{"$ref":"#/$defs/Count"},"index":{"$ref":"#/$defs/Count"},"indexTerm":{"$ref":"#/$defs/Count"},"members":{"$ref":"#/$defs/Members"},"offset":{"$ref":"#/$defs/Count"},"length":{"$ref":"#/$defs/Count"},"data":{"type":"string"},"at":{"type":"number"}}};

function validate33(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate33.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((((((((((((data.type === undefined) && (missing0 = "type")) || ((data.from === undefined) && (missing0 = "from"))) || ((data.to === undefined) && (missing0 = "to"))) || ((data.term === undefined) && (missing0 = "term"))) || ((data.index === undefined) && (missing0 = "index"))) || ((data.indexTerm === undefined) && (missing0 = "indexTerm"))) || ((data.members === undefined) && (missing0 = "members"))) || ((data.offset === undefined) && (missing0 = "offset"))) || ((data.length === undefined) && (missing0 = "length"))) || ((data.data === undefined) && (missing0 = "data"))) || ((data.at === undefined) && (missing0 = "at"))){
validate33.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema77.required,parentSchema:schema77,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if("snapshot" !== data0){
validate33.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "snapshot"},message:"must be equal to constant",schema:"snapshot",parentSchema:schema77.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.from !== undefined){
let data1 = data.from;
const _errs2 = errors;
const _errs3 = errors;
if(errors === _errs3){
if(typeof data1 === "string"){
if(data1.length > 16){
validate33.errors = [{instancePath:instancePath+"/from",schemaPath:"#/$defs/Incarnation/maxLength",keyword:"maxLength",params:{limit: 16},message:"must NOT have more than 16 characters",schema:16,parentSchema:schema33,data:data1}];
return false;
}
}
else {
validate33.errors = [{instancePath:instancePath+"/from",schemaPath:"#/$defs/Incarnation/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema33.type,parentSchema:schema33,data:data1}];
return false;
}
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.to !== undefined){
let data2 = data.to;
const _errs5 = errors;
const _errs6 = errors;
if(errors === _errs6){
if(typeof data2 === "string"){
if(data2.length > 16){
validate33.errors = [{instancePath:instancePath+"/to",schemaPath:"#/$defs/Incarnation/maxLength",keyword:"maxLength",params:{limit: 16},message:"must NOT have more than 16 characters",schema:16,parentSchema:schema33,data:data2}];
return false;
}
}
else {
validate33.errors = [{instancePath:instancePath+"/to",schemaPath:"#/$defs/Incarnation/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema33.type,parentSchema:schema33,data:data2}];
return false;
}
}
var valid0 = _errs5 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.term !== undefined){
let data3 = data.term;
const _errs8 = errors;
const _errs9 = errors;
if(!(((typeof data3 == "number") && (!(data3 % 1) && !isNaN(data3))) && (isFinite(data3)))){
validate33.errors = [{instancePath:instancePath+"/term",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema41.type,parentSchema:schema41,data:data3}];
return false;
}
if(errors === _errs9){
if((typeof data3 == "number") && (isFinite(data3))){
if(data3 < 0 || isNaN(data3)){
validate33.errors = [{instancePath:instancePath+"/term",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema41,data:data3}];
return false;
}
}
}
var valid0 = _errs8 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.index !== undefined){
let data4 = data.index;
const _errs11 = errors;
const _errs12 = errors;
if(!(((typeof data4 == "number") && (!(data4 % 1) && !isNaN(data4))) && (isFinite(data4)))){
validate33.errors = [{instancePath:instancePath+"/index",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema41.type,parentSchema:schema41,data:data4}];
return false;
}
if(errors === _errs12){
if((typeof data4 == "number") && (isFinite(data4))){
if(data4 < 0 || isNaN(data4)){
validate33.errors = [{instancePath:instancePath+"/index",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema41,data:data4}];
return false;
}
}
}
var valid0 = _errs11 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.indexTerm !== undefined){
let data5 = data.indexTerm;
const _errs14 = errors;
const _errs15 = errors;
if(!(((typeof data5 == "number") && (!(data5 % 1) && !isNaN(data5))) && (isFinite(data5)))){
validate33.errors = [{instancePath:instancePath+"/indexTerm",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema41.type,parentSchema:schema41,data:data5}];
return false;
}
if(errors === _errs15){
if((typeof data5 == "number") && (isFinite(data5))){
if(data5 < 0 || isNaN(data5)){
validate33.errors = [{instancePath:instancePath+"/indexTerm",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema41,data:data5}];
return false;
}
}
}
var valid0 = _errs14 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.members !== undefined){
const _errs17 = errors;
if(!(validate29(data.members, {instancePath:instancePath+"/members",parentData:data,parentDataProperty:"members",rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate29.errors : vErrors.concat(validate29.errors);
errors = vErrors.length;
}
var valid0 = _errs17 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.offset !== undefined){
let data7 = data.offset;
const _errs18 = errors;
const _errs19 = errors;
if(!(((typeof data7 == "number") && (!(data7 % 1) && !isNaN(data7))) && (isFinite(data7)))){
validate33.errors = [{instancePath:instancePath+"/offset",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema41.type,parentSchema:schema41,data:data7}];
return false;
}
if(errors === _errs19){
if((typeof data7 == "number") && (isFinite(data7))){
if(data7 < 0 || isNaN(data7)){
validate33.errors = [{instancePath:instancePath+"/offset",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema41,data:data7}];
return false;
}
}
}
var valid0 = _errs18 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.length !== undefined){
let data8 = data.length;
const _errs21 = errors;
const _errs22 = errors;
if(!(((typeof data8 == "number") && (!(data8 % 1) && !isNaN(data8))) && (isFinite(data8)))){
validate33.errors = [{instancePath:instancePath+"/length",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema41.type,parentSchema:schema41,data:data8}];
return false;
}
if(errors === _errs22){
if((typeof data8 == "number") && (isFinite(data8))){
if(data8 < 0 || isNaN(data8)){
validate33.errors = [{instancePath:instancePath+"/length",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema41,data:data8}];
return false;
}
}
}
var valid0 = _errs21 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.data !== undefined){
let data9 = data.data;
const _errs24 = errors;
if(typeof data9 !== "string"){
validate33.errors = [{instancePath:instancePath+"/data",schemaPath:"#/properties/data/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema77.properties.data.type,parentSchema:schema77.properties.data,data:data9}];
return false;
}
var valid0 = _errs24 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.at !== undefined){
let data10 = data.at;
const _errs26 = errors;
if(!((typeof data10 == "number") && (isFinite(data10)))){
validate33.errors = [{instancePath:instancePath+"/at",schemaPath:"#/properties/at/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema77.properties.at.type,parentSchema:schema77.properties.at,data:data10}];
return false;
}
var valid0 = _errs26 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
}
}
}
}
}
}
else {
validate33.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema77.type,parentSchema:schema77,data}];
return false;
}
}
validate33.errors = vErrors;
return errors === 0;
}
validate33.evaluated = {"props":{"type":true,"from":true,"to":true,"term":true,"index":true,"indexTerm":true,"members":true,"offset":true,"length":true,"data":true,"at":true},"dynamicProps":false,"dynamicItems":false};

const schema85 = {"title":"SnapshotReply","type":"object","required":["type","from","to","term","index","offset","at"],"properties":{"type":{"const":"snapshot-reply"},"from":{"$ref":"#/$defs/Incarnation"},"to":{"$ref":"#/$defs/Incarnation"},"term":{"$ref":"#/$defs/Count"},"index":{"$ref":"#/$defs/Count"},"offset":{"$ref":"#/$defs/Count"},"at":{"type":"number"}}};

function validate35(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate35.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((((((((data.type === undefined) && (missing0 = "type")) || ((data.from === undefined) && (missing0 = "from"))) || ((data.to === undefined) && (missing0 = "to"))) || ((data.term === undefined) && (missing0 = "term"))) || ((data.index === undefined) && (missing0 = "index"))) || ((data.offset === undefined) && (missing0 = "offset"))) || ((data.at === undefined) && (missing0 = "at"))){
validate35.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema85.required,parentSchema:schema85,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if("snapshot-reply" !== data0){
validate35.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "snapshot-reply"},message:"must be equal to constant",schema:"snapshot-reply",parentSchema:schema85.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.from !== undefined){
let data1 = data.from;
const _errs2 = errors;
const _errs3 = errors;
if(errors === _errs3){
if(typeof data1 === "string"){
if(data1.length > 16){
validate35.errors = [{instancePath:instancePath+"/from",schemaPath:"#/$defs/Incarnation/maxLength",keyword:"maxLength",params:{limit: 16},message:"must NOT have more than 16 characters",schema:16,parentSchema:schema33,data:data1}];
return false;
}
}
else {
validate35.errors = [{instancePath:instancePath+"/from",schemaPath:"#/$defs/Incarnation/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema33.type,parentSchema:schema33,data:data1}];
return false;
}
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.to !== undefined){
let data2 = data.to;
const _errs5 = errors;
const _errs6 = errors;
if(errors === _errs6){
if(typeof data2 === "string"){
if(data2.length > 16){
validate35.errors = [{instancePath:instancePath+"/to",schemaPath:"#/$defs/Incarnation/maxLength",keyword:"maxLength",params:{limit: 16},message:"must NOT have more than 16 characters",schema:16,parentSchema:schema33,data:data2}];
return false;
}
}
else {
validate35.errors = [{instancePath:instancePath+"/to",schemaPath:"#/$defs/Incarnation/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema33.type,parentSchema:schema33,data:data2}];
return false;
}
}
var valid0 = _errs5 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.term !== undefined){
let data3 = data.term;
const _errs8 = errors;
const _errs9 = errors;
if(!(((typeof data3 == "number") && (!(data3 % 1) && !isNaN(data3))) && (isFinite(data3)))){
validate35.errors = [{instancePath:instancePath+"/term",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema41.type,parentSchema:schema41,data:data3}];
return false;
}
if(errors === _errs9){
if((typeof data3 == "number") && (isFinite(data3))){
if(data3 < 0 || isNaN(data3)){
validate35.errors = [{instancePath:instancePath+"/term",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema41,data:data3}];
return false;
}
}
}
var valid0 = _errs8 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.index !== undefined){
let data4 = data.index;
const _errs11 = errors;
const _errs12 = errors;
if(!(((typeof data4 == "number") && (!(data4 % 1) && !isNaN(data4))) && (isFinite(data4)))){
validate35.errors = [{instancePath:instancePath+"/index",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema41.type,parentSchema:schema41,data:data4}];
return false;
}
if(errors === _errs12){
if((typeof data4 == "number") && (isFinite(data4))){
if(data4 < 0 || isNaN(data4)){
validate35.errors = [{instancePath:instancePath+"/index",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema41,data:data4}];
return false;
}
}
}
var valid0 = _errs11 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.offset !== undefined){
let data5 = data.offset;
const _errs14 = errors;
const _errs15 = errors;
if(!(((typeof data5 == "number") && (!(data5 % 1) && !isNaN(data5))) && (isFinite(data5)))){
validate35.errors = [{instancePath:instancePath+"/offset",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema41.type,parentSchema:schema41,data:data5}];
return false;
}
if(errors === _errs15){
if((typeof data5 == "number") && (isFinite(data5))){
if(data5 < 0 || isNaN(data5)){
validate35.errors = [{instancePath:instancePath+"/offset",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema41,data:data5}];
return false;
}
}
}
var valid0 = _errs14 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.at !== undefined){
let data6 = data.at;
const _errs17 = errors;
if(!((typeof data6 == "number") && (isFinite(data6)))){
validate35.errors = [{instancePath:instancePath+"/at",schemaPath:"#/properties/at/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema85.properties.at.type,parentSchema:schema85.properties.at,data:data6}];
return false;
}
var valid0 = _errs17 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
}
}
else {
validate35.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema85.type,parentSchema:schema85,data}];
return false;
}
}
validate35.errors = vErrors;
return errors === 0;
}
validate35.evaluated = {"props":{"type":true,"from":true,"to":true,"term":true,"index":true,"offset":true,"at":true},"dynamicProps":false,"dynamicItems":false};

const schema91 = {"title":"TimeoutNow","description":"Asks a follower to stand for election at once.","type":"object","required":["type","from","to","term"],"properties":{"type":{"const":"timeout-now"},"from":{"$ref":"#/$defs/Incarnation"},"to":{"$ref":"#/$defs/Incarnation"},"term":{"$ref":"#/$defs/Count"}}};

function validate36(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate36.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((((data.type === undefined) && (missing0 = "type")) || ((data.from === undefined) && (missing0 = "from"))) || ((data.to === undefined) && (missing0 = "to"))) || ((data.term === undefined) && (missing0 = "term"))){
validate36.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema91.required,parentSchema:schema91,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if("timeout-now" !== data0){
validate36.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "timeout-now"},message:"must be equal to constant",schema:"timeout-now",parentSchema:schema91.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.from !== undefined){
let data1 = data.from;
const _errs2 = errors;
const _errs3 = errors;
if(errors === _errs3){
if(typeof data1 === "string"){
if(data1.length > 16){
validate36.errors = [{instancePath:instancePath+"/from",schemaPath:"#/$defs/Incarnation/maxLength",keyword:"maxLength",params:{limit: 16},message:"must NOT have more than 16 characters",schema:16,parentSchema:schema33,data:data1}];
return false;
}
}
else {
validate36.errors = [{instancePath:instancePath+"/from",schemaPath:"#/$defs/Incarnation/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema33.type,parentSchema:schema33,data:data1}];
return false;
}
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.to !== undefined){
let data2 = data.to;
const _errs5 = errors;
const _errs6 = errors;
if(errors === _errs6){
if(typeof data2 === "string"){
if(data2.length > 16){
validate36.errors = [{instancePath:instancePath+"/to",schemaPath:"#/$defs/Incarnation/maxLength",keyword:"maxLength",params:{limit: 16},message:"must NOT have more than 16 characters",schema:16,parentSchema:schema33,data:data2}];
return false;
}
}
else {
validate36.errors = [{instancePath:instancePath+"/to",schemaPath:"#/$defs/Incarnation/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema33.type,parentSchema:schema33,data:data2}];
return false;
}
}
var valid0 = _errs5 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.term !== undefined){
let data3 = data.term;
const _errs8 = errors;
const _errs9 = errors;
if(!(((typeof data3 == "number") && (!(data3 % 1) && !isNaN(data3))) && (isFinite(data3)))){
validate36.errors = [{instancePath:instancePath+"/term",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema41.type,parentSchema:schema41,data:data3}];
return false;
}
if(errors === _errs9){
if((typeof data3 == "number") && (isFinite(data3))){
if(data3 < 0 || isNaN(data3)){
validate36.errors = [{instancePath:instancePath+"/term",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema41,data:data3}];
return false;
}
}
}
var valid0 = _errs8 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
else {
validate36.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema91.type,parentSchema:schema91,data}];
return false;
}
}
validate36.errors = vErrors;
return errors === 0;
}
validate36.evaluated = {"props":{"type":true,"from":true,"to":true,"term":true},"dynamicProps":false,"dynamicItems":false};


function validate20(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate20.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((data.type === undefined) && (missing0 = "type")){
validate20.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema31.required,parentSchema:schema31,data}];
return false;
}
else {
const tag0 = data.type;
if(typeof tag0 == "string"){
if(tag0 === "probe"){
if(!(validate21(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate21.errors : vErrors.concat(validate21.errors);
errors = vErrors.length;
}
var props0 = {};
props0.type = true;
props0.from = true;
props0.to = true;
}
else if(tag0 === "probed"){
if(!(validate22(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate22.errors : vErrors.concat(validate22.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.from = true;
props0.to = true;
props0.empty = true;
}
}
else if(tag0 === "vote-request"){
if(!(validate23(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate23.errors : vErrors.concat(validate23.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.from = true;
props0.to = true;
props0.term = true;
props0.lastIndex = true;
props0.lastTerm = true;
props0.pre = true;
props0.transfer = true;
}
}
else if(tag0 === "vote"){
if(!(validate24(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate24.errors : vErrors.concat(validate24.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.from = true;
props0.to = true;
props0.term = true;
props0.granted = true;
props0.pre = true;
}
}
else if(tag0 === "heartbeat"){
if(!(validate25(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate25.errors : vErrors.concat(validate25.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.from = true;
props0.to = true;
props0.term = true;
props0.commit = true;
props0.at = true;
}
}
else if(tag0 === "heartbeat-reply"){
if(!(validate26(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate26.errors : vErrors.concat(validate26.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.from = true;
props0.to = true;
props0.term = true;
props0.at = true;
}
}
else if(tag0 === "append"){
if(!(validate27(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate27.errors : vErrors.concat(validate27.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.from = true;
props0.to = true;
props0.term = true;
props0.previous = true;
props0.previousTerm = true;
props0.entries = true;
props0.commit = true;
props0.at = true;
}
}
else if(tag0 === "appended"){
if(!(validate32(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate32.errors : vErrors.concat(validate32.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.from = true;
props0.to = true;
props0.term = true;
props0.ok = true;
props0.previous = true;
props0.match = true;
props0.at = true;
}
}
else if(tag0 === "snapshot"){
if(!(validate33(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate33.errors : vErrors.concat(validate33.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.from = true;
props0.to = true;
props0.term = true;
props0.index = true;
props0.indexTerm = true;
props0.members = true;
props0.offset = true;
props0.length = true;
props0.data = true;
props0.at = true;
}
}
else if(tag0 === "snapshot-reply"){
if(!(validate35(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate35.errors : vErrors.concat(validate35.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.from = true;
props0.to = true;
props0.term = true;
props0.index = true;
props0.offset = true;
props0.at = true;
}
}
else if(tag0 === "timeout-now"){
if(!(validate36(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate36.errors : vErrors.concat(validate36.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.from = true;
props0.to = true;
props0.term = true;
}
}
else {
validate20.errors = [{instancePath,schemaPath:"#/discriminator",keyword:"discriminator",params:{error: "mapping", tag: "type", tagValue: tag0},message:"value of tag \"type\" must be in oneOf",schema:schema31.discriminator,parentSchema:schema31,data}];
return false;
}
}
else {
validate20.errors = [{instancePath,schemaPath:"#/discriminator",keyword:"discriminator",params:{error: "tag", tag: "type", tagValue: tag0},message:"tag \"type\" must be string",schema:schema31.discriminator,parentSchema:schema31,data}];
return false;
}
}
}
else {
validate20.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema31.type,parentSchema:schema31,data}];
return false;
}
}
validate20.errors = vErrors;
evaluated0.props = props0;
return errors === 0;
}
validate20.evaluated = {"dynamicProps":true,"dynamicItems":false};

